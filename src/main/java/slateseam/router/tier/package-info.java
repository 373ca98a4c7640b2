/**
 * Runs the tier's membership and shared policy on a router's event loop: sends and receives their datagrams, informs the decision
 * module, and reports their state to operators.
 *
 * <p>The package may use the tier's modules, the configuration, the peer datagrams and the network. The router assembles its classes.
 */
package slateseam.router.tier;
