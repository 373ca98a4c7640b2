/**
 * Proxy passes: the servers, the connections to them, what is spoken there.
 *
 * <p>It may use the farm, requests, network, the outcomes that the decision module knows. It is used by the core,
 * which begins and ends passes.
 */
package slateseam.router.pass;
