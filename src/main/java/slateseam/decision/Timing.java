package slateseam.decision;

/** Periods that several classes of the module share. All times of the module are in nanoseconds unless stated. */
final class Timing {
    static final long SECOND = 1_000_000_000L;
    /**
     * The shortest period between two rounds of housekeeping: short compared with the time in which answers are useful,
     * and long compared with the time that one batch of events takes.
     */
    static final long TICK = SECOND / 100;
    /**
     * The interval over which demand is measured and limits are adjusted, and for which a starting router waits for its
     * peers; it spans several network round trips.
     */
    static final long INTERVAL = SECOND / 4;

    static final double INTERVAL_SECONDS = (double) INTERVAL / SECOND;
    /** The weight of the latest interval in the moving average of demand; it is low because small counts are noisy. */
    static final double DEMAND_WEIGHT = 0.25;

    private Timing() {}
}
