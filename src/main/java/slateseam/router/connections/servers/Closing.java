package slateseam.router.connections.servers;

/** Why a connection ended. */
public enum Closing {
    /** It never came up: it was refused, or took too long. */
    NOT_UP,
    /** It was not used for long enough. */
    IDLE,
    /** It gave way to another server's. */
    ROOM,
    /** Bytes came that belong to no answer, or an answer could not be read. */
    NOISE,
    /** What was out on it was given up. */
    GIVEN_UP,
    /** The server ended it, with or behind an answer or between two. */
    ENDED,
    /** It broke while something was out on it. */
    BROKEN,
    /** The server left, drains, or is to be spared. */
    SERVER_GONE
}
