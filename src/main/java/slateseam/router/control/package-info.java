/**
 * The second address: HTTP/1.1, one call to a connection, for those who operate the router.
 *
 * <p>It may use the network and the acceptor of the user agents' side, and is told by the router what its calls do.
 */
package slateseam.router.control;
