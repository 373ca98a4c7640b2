/**
 * The decision module: which server, whether to retry, what is refused, and the share of the budget that a router
 * holds.
 *
 * <p>It may use nothing of this project; the module knows neither sockets nor clocks. It is used by the core, the
 * configuration (for the form of its settings), and those who host it on other wires.
 */
package slateseam.decision;
