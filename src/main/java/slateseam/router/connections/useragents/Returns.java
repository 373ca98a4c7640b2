package slateseam.router.connections.useragents;

/**
 * Learns how soon idle connections of one kind are used again. For each interval of idle time it counts how many
 * connections reached its beginning and how many were used within it. Connections that were closed before count up
 * to the time of the close, so that a router that closes connections early does not conclude that they are useless.
 * Old observations decay as new ones arrive, so that a changed mix of user agents is learned within some hundred
 * connections.
 */
final class Returns {
    /**
     * The number of intervals. The first is 1 ms long and each further interval ends at twice the time; the last
     * begins at 16 s, longer than any connection is kept idle.
     */
    static final int STRETCHES = 16;

    private static final long FIRST_NANOS = 1_000_000L;
    private static final double SECOND = 1e9;
    /** Observations are halved when the first interval holds more than this many. */
    private static final double FADE_AT = 200;

    private final double[] reached = new double[STRETCHES];
    private final double[] used = new double[STRETCHES];
    private final double[] worth = new double[STRETCHES];
    private boolean stale = true;

    /**
     * Creates the estimate from assumed values.
     *
     * @param sights the number of observations that the assumed values count as
     * @param guess the assumed fraction of the connections reaching each interval that are used within it
     */
    Returns(double sights, double[] guess) {
        for (int i = 0; i < STRETCHES; i++) {
            reached[i] = sights;
            used[i] = sights * guess[i];
        }
    }

    /** Returns the index of the interval that contains an idle time. */
    static int stretch(long nanos) {
        return Math.min(STRETCHES - 1, Long.SIZE - Long.numberOfLeadingZeros(Math.max(0, nanos) / FIRST_NANOS));
    }

    /** Records that a connection was used after an idle time. */
    void used(long idleNanos) {
        int stretch = stretch(idleNanos);
        reach(stretch);
        used[stretch]++;
    }

    /**
     * Records that a connection was closed after an idle time. The interval of the close does not count, as it was
     * not observed completely.
     */
    void closed(long idleNanos) {
        reach(stretch(idleNanos) - 1);
    }

    private void reach(int last) {
        if (reached[0] > FADE_AT) {
            for (int i = 0; i < STRETCHES; i++) {
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
    double worth(long idleNanos) {
        if (stale) {
            stale = false;
            double least = Double.MAX_VALUE;
            for (int i = 0; i < STRETCHES; i++) {
                least = Math.min(least, index(i));
                worth[i] = least;
            }
        }
        return worth[stretch(idleNanos)];
    }

    private double index(int from) {
        double best = 0;
        double left = 1;
        double chance = 0;
        double time = 0;
        for (int i = from; i < STRETCHES - 1; i++) {
            double part = reached[i] <= 0 ? 0 : Math.min(1, used[i] / reached[i]);
            time += left * (1 - part / 2) * seconds(i);
            chance += left * part;
            left *= 1 - part;
            best = Math.max(best, chance / time);
        }
        return best;
    }

    private static double seconds(int stretch) {
        return FIRST_NANOS / SECOND * (stretch == 0 ? 1 : 1 << stretch - 1);
    }
}
