/**
 * Which connections of user agents are kept, which are ended, and which new ones are taken. It is told what happens to
 * connections and settles what is to be done; it knows neither sockets nor clocks, every time is handed in.
 *
 * <p>It may use nothing of this project. It is used by the user agents' side, which obeys, and by the figures.
 */
package slateseam.router.connections.useragents;
