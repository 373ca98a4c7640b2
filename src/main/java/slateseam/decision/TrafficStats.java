package slateseam.decision;

/** What this router's requests are like: how many come, and how long a cache server's answer usually takes. */
final class TrafficStats {
    private static final double ANSWER_WEIGHT = 0.05;
    /** Requests that clients sent. */
    final Tally arrivals = new Tally();

    private double answerTime;

    /** A cache server has answered a request after this time. */
    void answered(long duration) {
        answerTime += ANSWER_WEIGHT * (duration - answerTime);
    }

    /** The usual answer time in nanoseconds; 0 before the first answer. */
    double answerTime() {
        return answerTime;
    }

    void endInterval() {
        arrivals.endInterval(Timing.INTERVAL_SECONDS, Timing.DEMAND_WEIGHT);
    }
}
