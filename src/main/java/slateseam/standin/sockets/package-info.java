/**
 * Serves stand-ins on real sockets, on loopback only: one thread, one selector, a bounded number of connections, with
 * TLS where a place to listen is told to.
 *
 * <p>It may use the interfaces of {@code slateseam.standin} and nothing else of this project. It is used by tests and
 * by the tools that serve stand-ins; the router does not know it.
 */
package slateseam.standin.sockets;
