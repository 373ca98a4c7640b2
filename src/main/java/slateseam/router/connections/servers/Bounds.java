package slateseam.router.connections.servers;

/**
 * What may be had.
 *
 * @param mostConnections to all servers together; at it an idle connection gives way, else uses wait or end
 * @param idleNanos for which a server keeps an idle connection at least
 * @param streams uses that may be out on one connection at once; with 1 each has one of its own, and a further connection
 *     is opened for each that waits
 */
public record Bounds(int mostConnections, long idleNanos, int streams) {}
