/**
 * Proxy passes to application servers and to the origin: the connections that carry them and the protocols spoken on
 * those connections.
 *
 * <p>This package may use the farm, request and network packages, and the outcomes defined by the decision module.
 * It is used by the core, which begins and cancels passes.
 */
package slateseam.router.pass;
