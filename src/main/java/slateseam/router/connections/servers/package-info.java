/**
 * Decides when connections to servers are opened, shared, kept and closed. This package does no I/O and uses neither
 * sockets nor clocks: callers report events with their time, and the package issues commands that the network code
 * of the passes executes.
 *
 * <p>The package may not use any other package of the project. The passes and the code that shows its statistics use
 * it.
 */
package slateseam.router.connections.servers;
