/**
 * The decision module: selects the server of each attempt, decides on retries and refusals, and determines the part of
 * the shared budgets that a router may use.
 *
 * <p>The module depends on no other package of this project and accesses neither sockets nor clocks: time and network
 * events are passed in. It is used by the router's core, by the configuration (for the structure of its settings), and
 * by hosts that connect it to other protocols.
 */
package slateseam.decision;
