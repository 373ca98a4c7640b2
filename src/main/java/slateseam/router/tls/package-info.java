/**
 * TLS for connections on the loop: the side that connects, and what the side that is connected to can use as well.
 *
 * <p>It may use the network only. It is used by whoever connects to a server that speaks TLS; where nobody does, no
 * class of it is loaded.
 */
package slateseam.router.tls;
