/**
 * The connections of user agents: accepts connections, reads commands and sends the answers in the order of the
 * commands.
 *
 * <p>This package may use the request and network packages. It is used by the router and by the dialects of further
 * listeners.
 */
package slateseam.router.useragent;
