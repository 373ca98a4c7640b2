package slateseam.router.connections.servers;

/** What the network code is to do. Orders are carried out one by one, in the order in which they were given. */
public sealed interface Order {
    /** Begin to connect; {@link ServerConnections#up} or {@link ServerConnections#failed} is to follow. */
    record Open(Link link) implements Order {}

    /** Write a use to a connection, behind whatever is out on it. */
    record Carry(Link link, Use use) implements Order {
        /** Whether it still holds; another order, or the connection's end, may have come between. */
        public boolean holds() {
            return use.link == link && use.state == Use.State.CARRIED && link.isOpen();
        }
    }

    /** Close a connection from this side, with all that is out on it. */
    record Close(Link link) implements Order {}

    /** A use is over without an answer. */
    record Ended(Use use, Why why) implements Order {}

    /** Call {@link ServerConnections#wake} at that time; an earlier call does no harm. */
    record Wake(Pool pool, long at) implements Order {}

    /** Why a use is over without an answer. */
    enum Why {
        /** There is no room for a connection; this tells nothing of the server. */
        NO_ROOM,
        /** No connection came up. */
        NOT_UP,
        /** Too little of its time is left to write it. */
        LATE,
        /** The server wants nothing new any more. */
        SERVER_GONE,
        /** Its connection broke: if it was written whole it may have run, else it never did. */
        CUT,
        /** Its connection was closed from here, for another use's sake: likewise, but that tells nothing of the server. */
        DROPPED
    }
}
