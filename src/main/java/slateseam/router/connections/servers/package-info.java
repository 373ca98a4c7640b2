/**
 * Decides how connections to servers are kept, opened, shared and closed. Does no I/O and knows neither sockets nor clocks:
 * it is told what happens, with the time, and hands out orders, which the passes' network code carries out.
 *
 * <p>It may use nothing else of the program. It is used by passes and by what shows its figures.
 */
package slateseam.router.connections.servers;
