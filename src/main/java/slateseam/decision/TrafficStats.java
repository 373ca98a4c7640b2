package slateseam.decision;

/** Statistics of this router's traffic: the rate of arriving requests and the usual answer time of cache servers. */
final class TrafficStats {
    /** The weight of a new answer in the moving average of answer times. */
    private static final double ANSWER_TIME_WEIGHT = 0.05;
    /** Requests that arrived from clients. */
    final Tally arrivals = new Tally();

    private double answerTime;

    /** Records that a cache server answered a request after {@code duration} nanoseconds. */
    void answered(long duration) {
        answerTime += ANSWER_TIME_WEIGHT * (duration - answerTime);
    }

    /** Returns the moving average of cache servers' answer times in nanoseconds; 0 before the first answer. */
    double answerTime() {
        return answerTime;
    }

    void endInterval() {
        arrivals.endInterval(Timing.INTERVAL_SECONDS, Timing.DEMAND_WEIGHT);
    }
}
