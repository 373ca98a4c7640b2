package slateseam.decision;

/** Estimates the rate of an event, in events per second, as a moving average over intervals. */
final class Tally {
    /** Intervals are counted up to this number; by then the given weight exceeds that of an average by far. */
    private static final int MAX_COUNTED_INTERVALS = 1000;
    /**
     * The number of intervals after which the rate no longer reflects a start, or the time in which two processes of a
     * router ran side by side.
     */
    private static final int SETTLED_INTERVALS = 4;

    private final double floor;
    private double currentCount;
    private double perSecond;
    private int intervals;

    /**
     * Creates an estimator with a floor of one event per interval, so that callers can divide by the rate at no load.
     */
    Tally() {
        this(1);
    }

    /** Creates an estimator that never falls below {@code floor} events per interval. */
    Tally(double floor) {
        this.floor = floor;
        this.perSecond = floor;
    }

    /** Counts one event. */
    void count() {
        currentCount++;
    }

    /** Returns the estimated rate in events per second; never below the floor. */
    double perSecond() {
        return perSecond;
    }

    /** Returns whether an interval with at least one event has ended; before that, the rate is a guess. */
    boolean isKnown() {
        return intervals > 0;
    }

    /**
     * Returns whether enough intervals have been counted; the first ones may have seen only a part of the usual events.
     */
    boolean isSettled() {
        return intervals >= SETTLED_INTERVALS;
    }

    /**
     * Ends an interval and updates the rate.
     *
     * @param seconds the length of the interval
     * @param weight the least weight of this interval in the moving average, from 0 to 1
     */
    void endInterval(double seconds, double weight) {
        // After a start, the intervals since the first event have equal weights, so that the rate is accurate early.
        intervals = currentCount > 0 || intervals > 0 ? Math.min(MAX_COUNTED_INTERVALS, intervals + 1) : 0;
        perSecond +=
                Math.max(weight, 1.0 / Math.max(1, intervals)) * (Math.max(floor, currentCount) / seconds - perSecond);
        currentCount = 0;
    }
}
