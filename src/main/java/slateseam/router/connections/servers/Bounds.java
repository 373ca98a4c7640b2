package slateseam.router.connections.servers;

/**
 * What may be had.
 *
 * @param mostConnections to all servers together; at it an idle connection gives way, else uses wait or end
 * @param idleNanos for which a server keeps an idle connection at least
 * @param streams uses that servers take on one connection at once
 */
public record Bounds(int mostConnections, long idleNanos, int streams) {
}
