/**
 * Connection admission for user agents: decides which connections are kept, which are closed, and which new ones are
 * accepted. Callers report the events of connections; the package uses neither sockets nor clocks, and every time is
 * a parameter.
 *
 * <p>The package may not use any other package of the project. The network code for user agents, which executes the
 * decisions, and the statistics use it.
 */
package slateseam.router.connections.useragents;
