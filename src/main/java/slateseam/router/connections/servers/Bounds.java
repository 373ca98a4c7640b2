package slateseam.router.connections.servers;

/**
 * Limits on the connections from this router to application servers.
 *
 * @param mostConnections the maximum number of connections to all servers together; when it is reached, an idle
 *     connection is closed to make room, otherwise uses wait or end
 * @param idleNanos the minimum time in nanoseconds for which a server keeps an idle connection open
 * @param streams the maximum number of outstanding uses on one connection; with 1, each use has a connection of its
 *     own, and a further connection is opened for each waiting use
 * @param freeFences whether a fence command costs nothing, so that every answer on a used connection is verified
 */
public record Bounds(int mostConnections, long idleNanos, int streams, boolean freeFences) {}
