package slateseam.decision;

/**
 * Detects overload of the origin from its fetches. Tracks the recent fetch time, the usual fetch time as a baseline,
 * and the fraction of fetches that are lost. {@link OriginRate} decides on the rate of fetches. Times are in
 * nanoseconds.
 */
final class FetchTimes {
    /** The recent fetch time, as a multiple of the usual one, above which fetches are slow. */
    private static final double SLOW_FACTOR = 2.5;
    /** The recent fetch time, as a multiple of the usual one, below which no queue stands at the origin. */
    private static final double CALM_FACTOR = 1.5;
    /** The rise over the usual fetch time, as a fraction of the aim, up to which slow fetches do no harm. */
    private static final double MIN_RISE_AIM_FRACTION = 0.15;

    /** The fraction of lost fetches above which the origin is overloaded. */
    private static final double MAX_LOST_FRACTION = 0.2;
    /** The smallest weight of a fetch in the recent fetch time. */
    private static final double RECENT_WEIGHT = 0.1;
    /** The smallest weight with which the usual fetch time follows a recent time that is shorter. */
    private static final double FALL_WEIGHT = 0.05;
    /**
     * The smallest weight with which the usual fetch time follows a recent time that is longer; small, so that the
     * usual time hardly rises during an overload.
     */
    private static final double RISE_WEIGHT = 0.002;
    /**
     * The fraction of the excess over the usual fetch time that becomes part of the usual time at a cut of the rate.
     */
    private static final double KEPT_EXCESS_FRACTION = 0.03;
    /** The number of fetches before which nothing counts as slow: fewer do not show the usual time. */
    private static final int MIN_FETCHES = 10;
    /** The number of first fetches whose times are averaged with equal weights. */
    private static final int AVERAGED_FETCHES = 30;

    private int fetches;
    private double recent;
    private double usual;
    /** The smoothed fraction of lost fetches. */
    private double lostFraction;

    /** Returns the smoothed time of recent fetches; 0 before the first. */
    double recent() {
        return recent;
    }

    /** Records the time of a fetch that was answered. */
    void took(long nanos) {
        fetches = Math.min(AVERAGED_FETCHES + 1, fetches + 1);
        double averagingWeight = fetches <= AVERAGED_FETCHES ? 1.0 / fetches : 0;
        recent += Math.max(RECENT_WEIGHT, averagingWeight) * (nanos - recent);
        // The first fetches may be quick by chance or because the origin is idle. If the usual time stayed at their
        // times, all later fetches would look like an overload, and the rate R would be cut and not grow again.
        double weight = Math.max(averagingWeight, recent < usual ? FALL_WEIGHT : RISE_WEIGHT);
        usual += weight * (recent - usual);
    }

    /**
     * Records the end of a fetch, answered or not.
     *
     * @param isLost whether the origin rejected the fetch as full or did not answer in time
     */
    void ended(boolean isLost) {
        lostFraction += MAX_LOST_FRACTION / 4 * ((isLost ? 1 : 0) - lostFraction);
    }

    /**
     * Whether the origin is overloaded: it loses too many fetches, or its fetches are slow enough to matter for the
     * aim.
     */
    boolean overloaded(long aim) {
        boolean slow =
                fetches >= MIN_FETCHES && recent > SLOW_FACTOR * usual && recent - usual > MIN_RISE_AIM_FRACTION * aim;
        return lostFraction > MAX_LOST_FRACTION || slow;
    }

    /** Whether no queue has built up at the origin. */
    boolean calm(long aim) {
        return recent < CALM_FACTOR * usual || recent - usual < MIN_RISE_AIM_FRACTION / 3 * aim;
    }

    /** Discards the signs of overload after the rate was cut for them: only new fetches can show another overload. */
    void forget() {
        usual += KEPT_EXCESS_FRACTION * (recent - usual);
        recent = usual;
        lostFraction = 0;
    }
}
