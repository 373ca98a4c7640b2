package slateseam.router.connections.servers;

/**
 * Decides when a further connection to a server is worth its cost, and how many connections may be opening at once.
 */
final class OpeningPolicy {
    /**
     * The initial limit on connections without a first answer: simultaneous handshakes at one server delay those of
     * other routers and the requests in progress there.
     */
    private static final int INITIAL_MAX_UNANSWERED = 8;

    private static final int MAX_UNANSWERED = 16;
    /**
     * The limit where each use needs a connection of its own: waiting for an answer then costs more than handshakes
     * do.
     */
    private static final int MAX_UNANSWERED_UNSHARED = 32;

    private static final int MIN_UNANSWERED_LIMIT = 2;
    /**
     * A first answer within this multiple of the usual time shows that the server can take one more simultaneous
     * handshake.
     */
    private static final double QUICK_FACTOR = 1.5;

    private static final double SLOW_FACTOR = 2.5;
    /**
     * The half-life of the accumulated waiting time in nanoseconds: about as long as a connection may stay idle for
     * its cost.
     */
    private static final double WAIT_HALF_LIFE_NANOS = 2e9;
    /** After a refusal the limit on connections rises by 1 per this many nanoseconds. */
    private static final long RAISE_INTERVAL_NANOS = 100_000_000L;

    private final int maxUnanswered;
    private int unansweredLimit;
    private double accumulatedWait;
    private long accumulatedAt;
    private int connectionLimit = Integer.MAX_VALUE;
    private long connectionLimitSetAt;

    /**
     * Creates the state for one server.
     *
     * @param canShare whether uses can share a connection while they wait for a further one
     */
    OpeningPolicy(boolean canShare) {
        maxUnanswered = canShare ? MAX_UNANSWERED : MAX_UNANSWERED_UNSHARED;
        unansweredLimit = canShare ? INITIAL_MAX_UNANSWERED : MAX_UNANSWERED_UNSHARED;
    }

    /**
     * Adds the time in nanoseconds for which a use waited, or was delayed by the use ahead of it, for lack of a
     * further connection.
     */
    void waited(long now, double nanos) {
        accumulatedWait = accumulatedWait(now) + nanos;
        accumulatedAt = now;
    }

    private double accumulatedWait(long now) {
        return accumulatedWait * Math.pow(0.5, (now - accumulatedAt) / WAIT_HALF_LIFE_NANOS);
    }

    /**
     * Returns whether the accumulated waiting time has reached the cost of a connection. Resets the accumulated time
     * when it has.
     */
    boolean isWorthOpening(long now, double cost) {
        if (accumulatedWait == 0 || accumulatedWait(now) < cost) {
            return false;
        }
        accumulatedWait = 0;
        return true;
    }

    /** Returns the maximum number of connections without a first answer. */
    int unansweredLimit() {
        return unansweredLimit;
    }

    /** Returns the number of connections that the server is assumed to accept. */
    int connectionLimit(long now) {
        long raised = (now - connectionLimitSetAt) / RAISE_INTERVAL_NANOS;
        return raised > Integer.MAX_VALUE - (long) connectionLimit ? Integer.MAX_VALUE : connectionLimit + (int) raised;
    }

    void firstAnswered(double took, double usual) {
        if (took < QUICK_FACTOR * usual) {
            unansweredLimit = Math.min(maxUnanswered, unansweredLimit + 1);
        } else if (took > SLOW_FACTOR * usual) {
            unansweredLimit = Math.max(MIN_UNANSWERED_LIMIT, unansweredLimit / 2);
        }
    }

    /**
     * Records that a connection was not established while {@code up} others were: the server accepts no more for
     * now.
     */
    void refused(long now, int up) {
        unansweredLimit = Math.max(MIN_UNANSWERED_LIMIT, unansweredLimit / 2);
        if (up > 0) {
            connectionLimit = up;
            connectionLimitSetAt = now;
        }
    }
}
