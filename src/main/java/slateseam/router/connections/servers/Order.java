package slateseam.router.connections.servers;

/** A command for the network code. Commands must be executed one by one, in the order in which they were issued. */
public sealed interface Order {
    /** Start connecting; {@link ServerConnections#up} or {@link ServerConnections#failed} must follow. */
    record Open(Link link) implements Order {}

    /** Write a use to a connection, behind the uses outstanding there. */
    record Carry(Link link, Use use) implements Order {
        /**
         * Returns whether the command is still valid; another command or the end of the connection may have
         * overtaken it.
         */
        public boolean holds() {
            return use.link == link && use.state == Use.State.CARRIED && link.isOpen();
        }
    }

    /** Close a connection from this side, together with all uses outstanding on it. */
    record Close(Link link) implements Order {}

    /** Report that a use ended without an answer. */
    record Ended(Use use, Why why) implements Order {}

    /** Call {@link ServerConnections#wake} at the given time in nanoseconds; an earlier call does no harm. */
    record Wake(Pool pool, long at) implements Order {}

    /** Why a use ended without an answer. */
    enum Why {
        /** The connection limit is reached; this says nothing about the server. */
        NO_ROOM,
        /** No connection could be established. */
        NOT_UP,
        /** Too little time is left before the deadline of the use to write it. */
        LATE,
        /** The server takes no new uses. */
        SERVER_GONE,
        /**
         * The connection broke. The server may have executed the use if it was written completely, and has not
         * otherwise.
         */
        CUT,
        /**
         * The router closed the connection because of another use. As with {@link #CUT} the use may have been
         * executed, but this says nothing about the server.
         */
        DROPPED
    }
}
