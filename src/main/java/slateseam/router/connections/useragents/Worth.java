package slateseam.router.connections.useragents;

import java.util.Arrays;

/**
 * The priorities of idle connections by kind: new connections, connections used once, and connections used
 * repeatedly, by their last idle time before a use.
 */
final class Worth {
    /** The kind of connections on which nothing has arrived yet. */
    static final int SILENT = 0;
    /** The kind of connections that were used once. */
    static final int USED_ONCE = 1;
    /**
     * The kind of connections that were used again within the first interval of idle time; the kinds for longer
     * intervals follow.
     */
    static final int REUSED = 2;

    static final int KINDS = REUSED + ReuseEstimator.INTERVALS;
    /** The number of observations that the assumed initial values count as. */
    private static final double ASSUMED_OBSERVATIONS = 2;

    private final ReuseEstimator[] kinds = new ReuseEstimator[KINDS];

    Worth() {
        double[] silent = new double[ReuseEstimator.INTERVALS];
        Arrays.fill(silent, 0.05);
        Arrays.fill(silent, 0, 4, 0.6); // a command follows at once, or the user agent connected for another purpose
        kinds[SILENT] = new ReuseEstimator(ASSUMED_OBSERVATIONS, silent);
        double[] once = new double[ReuseEstimator.INTERVALS];
        Arrays.fill(once, 0.25);
        kinds[USED_ONCE] = new ReuseEstimator(ASSUMED_OBSERVATIONS, once);
        for (int last = 0; last < ReuseEstimator.INTERVALS; last++) {
            double[] again = new double[ReuseEstimator.INTERVALS];
            Arrays.fill(again, 0.1);
            again[last] = 0.6;
            again[Math.min(last + 1, ReuseEstimator.INTERVALS - 1)] = 0.6;
            kinds[REUSED + last] = new ReuseEstimator(ASSUMED_OBSERVATIONS, again);
        }
    }

    /** Returns the kind of a connection that was used again after an idle time. */
    static int after(long idleNanos) {
        return REUSED + ReuseEstimator.interval(idleNanos);
    }

    ReuseEstimator of(int kind) {
        return kinds[kind];
    }
}
