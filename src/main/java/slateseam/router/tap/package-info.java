/**
 * Requests as they end, live, for those who connect.
 *
 * <p>It may use requests, network. It is used by the router, where the operators have turned it on.
 */
package slateseam.router.tap;
