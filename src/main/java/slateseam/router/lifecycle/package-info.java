/**
 * The lifecycle of a router: whether it accepts user agents, what health checks report, and whether connections are
 * kept open. No I/O.
 *
 * <p>It uses no other package. It is used by the fronts, the control address and the router.
 */
package slateseam.router.lifecycle;
