/**
 * The dialect of many values in one answer.
 *
 * <p>It may use the user agents' side, requests, network. It is used by the router, where the operators have turned
 * it on.
 */
package slateseam.router.multiget;
