package slateseam.router.connections.servers;

/**
 * One use of a connection, for an attempt of a request or for a probe, from the time it asks for a connection until
 * it ends.
 */
public class Use {
    /** The state of a use. */
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
    /** The connection that the use is assigned to; null while there is none. */
    Link link;
    /** The time at which the use began to wait, and after its assignment the time of the assignment. */
    long since;
    /** Whether another use was outstanding on the connection at the assignment. */
    boolean behind;
    /** Whether the use was abandoned with nothing to be sent in its place, so that its answer may arrive unused. */
    boolean last;

    private boolean begun;
    private boolean written;

    /**
     * Creates a use that has not asked for a connection yet.
     *
     * @param pool the connections to the server that the use is for
     * @param endsAt the deadline in nanoseconds; the use is not written within {@link Pool#MIN_REMAINING_NANOS} before it
     * @param shares whether the use may be written behind other uses on a connection, and others behind it
     */
    protected Use(Pool pool, long endsAt, boolean shares) {
        this.pool = pool;
        this.endsAt = endsAt;
        this.shares = shares;
    }

    /** Returns the pool of the server that the use is for. */
    public final Pool pool() {
        return pool;
    }

    /** Records that the first byte is about to be written: from now on the use ends when its connection ends. */
    public final void begin() {
        begun = true;
    }

    /**
     * Records that all bytes have been passed to the operating system: from now on the end of the connection does
     * not tell whether the server executed the use.
     */
    public final void markWritten() {
        written = true;
    }

    /** Returns whether all bytes have been passed to the operating system. */
    public final boolean isWritten() {
        return written;
    }

    final boolean isBegun() {
        return begun;
    }

    /** Returns whether nobody waits for the answer any more, though it may still arrive. */
    public final boolean isGivenUp() {
        return state == State.GIVEN_UP || state == State.OVER;
    }
}
