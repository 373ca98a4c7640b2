package slateseam.router.connections.useragents;

/**
 * Learns how soon idle connections of one kind are used again. For each interval of idle time it counts how many
 * connections reached its beginning and how many were used within it. Connections that were closed before count up
 * to the time of the close, so that a router that closes connections early does not conclude that they are useless.
 * Old observations decay as new ones arrive, so that a changed mix of user agents is learned within some hundred
 * connections.
 */
final class ReuseEstimator {
    /**
     * The number of intervals. The first is 1 ms long and each further interval ends at twice the time; the last
     * begins at 16 s, longer than any connection is kept idle.
     */
    static final int INTERVALS = 16;

    private static final long FIRST_INTERVAL_NANOS = 1_000_000L;
    private static final double NANOS_PER_SECOND = 1e9;
    /** Observations are halved when the first interval holds more than this many. */
    private static final double DECAY_THRESHOLD = 200;

    private final double[] reached = new double[INTERVALS];
    private final double[] used = new double[INTERVALS];
    private final double[] priority = new double[INTERVALS];
    private boolean stale = true;

    /**
     * Creates the estimate from assumed values.
     *
     * @param observations the number of observations that the assumed values count as
     * @param guess the assumed fraction of the connections reaching each interval that are used within it
     */
    ReuseEstimator(double observations, double[] guess) {
        for (int i = 0; i < INTERVALS; i++) {
            reached[i] = observations;
            used[i] = observations * guess[i];
        }
    }

    /** Returns the index of the interval that contains an idle time. */
    static int interval(long nanos) {
        return Math.min(
                INTERVALS - 1, Long.SIZE - Long.numberOfLeadingZeros(Math.max(0, nanos) / FIRST_INTERVAL_NANOS));
    }

    /** Records that a connection was used after an idle time. */
    void used(long idleNanos) {
        int interval = interval(idleNanos);
        reach(interval);
        used[interval]++;
    }

    /**
     * Records that a connection was closed after an idle time. The interval of the close does not count, as it was
     * not observed completely.
     */
    void closed(long idleNanos) {
        reach(interval(idleNanos) - 1);
    }

    private void reach(int last) {
        if (reached[0] > DECAY_THRESHOLD) {
            for (int i = 0; i < INTERVALS; i++) {
                reached[i] /= 2;
                used[i] /= 2;
            }
        }
        for (int i = 0; i <= last; i++) {
            reached[i]++;
        }
        stale = true;
    }

    /**
     * Returns the expected uses per second that keeping a connection with this idle time yields: the maximum, over
     * all later times, of the probability of a use until then divided by the expected time kept (Gittins index). The
     * value never rises with the idle time, so that within one kind the connection idle for longest is closed first.
     */
    double priority(long idleNanos) {
        if (stale) {
            stale = false;
            double least = Double.MAX_VALUE;
            for (int i = 0; i < INTERVALS; i++) {
                least = Math.min(least, index(i));
                priority[i] = least;
            }
        }
        return priority[interval(idleNanos)];
    }

    private double index(int from) {
        double best = 0;
        double left = 1;
        double chance = 0;
        double time = 0;
        for (int i = from; i < INTERVALS - 1; i++) {
            double part = reached[i] <= 0 ? 0 : Math.min(1, used[i] / reached[i]);
            time += left * (1 - part / 2) * seconds(i);
            chance += left * part;
            left *= 1 - part;
            best = Math.max(best, chance / time);
        }
        return best;
    }

    private static double seconds(int interval) {
        return FIRST_INTERVAL_NANOS / NANOS_PER_SECOND * (interval == 0 ? 1 : 1 << interval - 1);
    }
}
