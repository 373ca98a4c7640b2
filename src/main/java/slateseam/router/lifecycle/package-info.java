/**
 * Whether this router takes user agents: what it says when asked, and whether their connections stay. No I/O.
 *
 * <p>It uses nothing. It is used by the ways in, the second address and the router.
 */
package slateseam.router.lifecycle;
