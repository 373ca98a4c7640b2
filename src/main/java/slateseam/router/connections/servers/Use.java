package slateseam.router.connections.servers;

/** One use of a connection: an attempt of a request, or a probe, from when it asks for a connection until it is over. */
public class Use {
    /** How far it has come. */
    enum State {
        NEW,
        WAITING,
        CARRIED,
        GIVEN_UP,
        OVER
    }

    final Pool pool;
    final long endsAt;
    final boolean shares;
    State state = State.NEW;
    /** What carries it; null before that, and once it is over. */
    Link link;
    /** When it began to wait, later when it was given to its link. */
    long since;
    /** Whether another use was out on its link when it was given to it. */
    boolean behind;
    /** Given up for good: its answer may come in vain, as nothing is sent in its place. */
    boolean last;

    private boolean begun;
    private boolean written;

    /**
     * Creates a use that has not asked yet.
     *
     * @param pool the connections of the server that it is for
     * @param endsAt when it is of no use any more; nothing is begun within {@link Pool#LEAST_NANOS} of that
     * @param shares whether it may stand behind others on a connection, and others behind it
     */
    protected Use(Pool pool, long endsAt, boolean shares) {
        this.pool = pool;
        this.endsAt = endsAt;
        this.shares = shares;
    }

    /** The connections that it is one use of. */
    public final Pool pool() {
        return pool;
    }

    /** The first of its bytes is about to be written: from now on its connection's end is its own. */
    public final void begin() {
        begun = true;
    }

    /** All of its bytes have been handed to the system: a connection's end tells no more whether it ran. */
    public final void markWritten() {
        written = true;
    }

    /** Whether all of its bytes have been handed to the system. */
    public final boolean isWritten() {
        return written;
    }

    final boolean isBegun() {
        return begun;
    }

    /** Whether nobody waits for its answer any more, though it may still come. */
    public final boolean isGivenUp() {
        return state == State.GIVEN_UP || state == State.OVER;
    }
}
