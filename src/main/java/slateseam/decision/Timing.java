package slateseam.decision;

/** The periods that several concerns of the module share. All times of the module are in nanoseconds. */
final class Timing {
    static final long SECOND = 1_000_000_000L;
    /** Between two rounds of housekeeping: short against an aim, long against a batch. */
    static final long TICK = SECOND / 100;
    /** Over which demand is measured and limits are learned, and for which peers are awaited: some round trips. */
    static final long INTERVAL = SECOND / 4;

    static final double INTERVAL_SECONDS = (double) INTERVAL / SECOND;
    /** What the last interval's demand weighs: small counts are noisy. */
    static final double DEMAND_WEIGHT = 0.25;

    private Timing() {}
}
