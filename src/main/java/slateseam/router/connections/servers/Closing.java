package slateseam.router.connections.servers;

/** Why a connection to a server was closed. */
public enum Closing {
    /** The connection was refused or was not established in time. */
    NOT_UP,
    /** The connection reached the idle time-out. */
    IDLE,
    /** An idle connection was closed to make room for a connection to another server. */
    ROOM,
    /** Bytes arrived that belong to no answer, or an answer could not be parsed. */
    NOISE,
    /** The server has sent unrequested bytes, and a used connection to it cannot show that its replies are in step. */
    UNVERIFIABLE,
    /** The uses that were outstanding on the connection were abandoned. */
    GIVEN_UP,
    /** The server closed the connection, with or after an answer or between two answers. */
    ENDED,
    /** The connection broke while a use was outstanding on it. */
    BROKEN,
    /** The server left the farm, is draining, or asked for fewer connections. */
    SERVER_GONE
}
