package slateseam.router.connections.servers;

/**
 * Decides when a further connection to a server is worth its cost, and how many connections may be opening at once.
 */
final class Opening {
    /**
     * The initial limit on connections without a first answer: simultaneous handshakes at one server delay those of
     * other routers and the requests in progress there.
     */
    private static final int FIRST_YOUNG = 8;

    private static final int MOST_YOUNG = 16;
    /**
     * The limit where each use needs a connection of its own: waiting for an answer then costs more than handshakes
     * do.
     */
    private static final int UNSHARED_YOUNG = 32;

    private static final int LEAST_YOUNG = 2;
    /**
     * A first answer within this multiple of the usual time shows that the server can take one more simultaneous
     * handshake.
     */
    private static final double QUICK = 1.5;

    private static final double SLOW = 2.5;
    /**
     * The half-life of the accumulated waiting time in nanoseconds: about as long as a connection may stay idle for
     * its cost.
     */
    private static final double HALF_NANOS = 2e9;
    /** After a refusal the limit on connections rises by 1 per this many nanoseconds. */
    private static final long RAISE_NANOS = 100_000_000L;

    private final int mostYoung;
    private int young;
    private double rent;
    private long rentAt;
    private int most = Integer.MAX_VALUE;
    private long mostAt;

    /**
     * Creates the state for one server.
     *
     * @param patient whether uses can share a connection while they wait for a further one
     */
    Opening(boolean patient) {
        mostYoung = patient ? MOST_YOUNG : UNSHARED_YOUNG;
        young = patient ? FIRST_YOUNG : UNSHARED_YOUNG;
    }

    /**
     * Adds the time in nanoseconds for which a use waited, or was delayed by the use ahead of it, for lack of a
     * further connection.
     */
    void waited(long now, double nanos) {
        rent = rent(now) + nanos;
        rentAt = now;
    }

    private double rent(long now) {
        return rent * Math.pow(0.5, (now - rentAt) / HALF_NANOS);
    }

    /**
     * Returns whether the accumulated waiting time has reached the cost of a connection. Resets the accumulated time
     * when it has.
     */
    boolean isPaid(long now, double price) {
        if (rent == 0 || rent(now) < price) {
            return false;
        }
        rent = 0;
        return true;
    }

    /** Returns the maximum number of connections without a first answer. */
    int young() {
        return young;
    }

    /** Returns the number of connections that the server is assumed to accept. */
    int most(long now) {
        long raised = (now - mostAt) / RAISE_NANOS;
        return raised > Integer.MAX_VALUE - (long) most ? Integer.MAX_VALUE : most + (int) raised;
    }

    void firstAnswered(double took, double usual) {
        if (took < QUICK * usual) {
            young = Math.min(mostYoung, young + 1);
        } else if (took > SLOW * usual) {
            young = Math.max(LEAST_YOUNG, young / 2);
        }
    }

    /**
     * Records that a connection was not established while {@code up} others were: the server accepts no more for
     * now.
     */
    void refused(long now, int up) {
        young = Math.max(LEAST_YOUNG, young / 2);
        if (up > 0) {
            most = up;
            mostAt = now;
        }
    }
}
