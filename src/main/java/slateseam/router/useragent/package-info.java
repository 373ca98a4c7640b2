/**
 * The user agents' side: accepts connections, reads commands, sends answers in order.
 *
 * <p>It may use requests, network. It is used by the router and the dialects of further listeners.
 */
package slateseam.router.useragent;
