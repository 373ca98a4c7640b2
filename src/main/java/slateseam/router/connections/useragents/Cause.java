package slateseam.router.connections.useragents;

/** Why a connection of a user agent was closed, as statistics report it. */
public enum Cause {
    /** The user agent closed the connection, or it broke. */
    LEFT("left"),
    /** The connection reached the maximum idle time, with or without an earlier request. */
    STALE("stale"),
    /** The connection was closed to make room, as it had a lower priority than an expected new connection. */
    ROOM("room"),
    /**
     * The connection came from an address that already holds half of the connection table or more, while few places
     * were left.
     */
    CROWD("crowd"),
    /** The user agent sent bytes that could not be parsed, or did not send the rest of a command. */
    MALFORMED("malformed"),
    /** The user agent did not read its answers. */
    UNREAD("unread"),
    /** The server did not deliver the rest of a long value. */
    CUT("cut"),
    /** The router shuts down. */
    PLANNED("planned");

    private final String word;

    Cause(String word) {
        this.word = word;
    }

    /** Returns the word that statistics show. */
    public String word() {
        return word;
    }
}
