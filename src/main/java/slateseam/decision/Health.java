package slateseam.decision;

/**
 * The health of a server as one router sees it: the outstanding attempts, the recent failures and the concurrency
 * window, which limits how many attempts may be outstanding. This class keeps the counts and times;
 * {@link OutlierDetection} decides on ejections. Times are in nanoseconds of the module's clock; 0 stands for never.
 */
class Health {
    /** The failure score: the sum of the weights of the failures since the last answer that was not a miss. */
    int failureScore;
    /** The number of attempts that have been sent and have not ended. */
    int outstanding;
    /**
     * The concurrency limit. A window below 1 permits one attempt at a time, and no more than that fraction of an
     * attempt in the usual answer time.
     */
    double window;
    /** The time of the server's first answer to this router since the server last started. */
    long firstAnswerAt;
    /** The time at which the first attempt was sent since the server last started. */
    long firstSentAt;

    /** The time of the last failure; lost connections and unreadable answers do not count. */
    long lastFailureAt;

    /** The time at which the last ejection began. */
    long ejectedAt;
    /** The end of the last ejection. */
    long ejectedUntil;

    /** The length of the next ejection in nanoseconds. */
    long nextEjectionNanos;
    /** The time of the first attempt sent since the last response of any kind; 0 if none has been sent since. */
    private long unansweredSince;

    /** The time at which the last attempt was sent. */
    private long lastSentAt;

    /** The time at which the window was last narrowed. */
    private long lastNarrowedAt;

    Health(double window, long firstEjectionNanos) {
        this.window = window;
        nextEjectionNanos = firstEjectionNanos;
    }

    /** Records that an attempt is sent. */
    void sent(long now) {
        outstanding++;
        lastSentAt = now;
        if (firstSentAt == 0) {
            firstSentAt = now;
        }
        if (unansweredSince == 0) {
            unansweredSince = now;
        }
    }

    /** Records that an attempt has ended, with whatever outcome. */
    void attemptEnded() {
        outstanding = Math.max(0, outstanding - 1);
    }

    /** Records an answer of the server: a hit or a miss. */
    void recordAnswer(long now) {
        firstAnswerAt = firstAnswerAt == 0 ? now : firstAnswerAt;
    }

    /** Records that the server responded to an attempt in some way, be it with an error. */
    void recordResponse() {
        unansweredSince = 0;
    }

    /** Returns how long the server has sent no response although attempts were sent to it, in nanoseconds; else 0. */
    long silenceNanos(long now) {
        return unansweredSince == 0 ? 0 : now - unansweredSince;
    }

    /**
     * Whether the window permits another attempt.
     *
     * @param fraction the fraction of the window that may be used
     * @param answerTime the usual answer time in nanoseconds
     */
    boolean hasRoom(double fraction, double answerTime, long now) {
        // A cache that is slow under overload stays slow until it has had some time without load, hence windows below
        // 1.
        return outstanding < Math.max(1, window * fraction) && (window >= 1 || now - lastSentAt >= answerTime / window);
    }

    /** Widens the window by one for each window of answers, as long as at least half of the window is used. */
    void widenWindow() {
        if (outstanding + 1 >= window / 2) {
            window += 1 / Math.max(1, window);
        }
    }

    /**
     * Narrows the window to a fraction of the part in use, once for all attempts that were outstanding at the same
     * time.
     *
     * @param duration the duration in nanoseconds of the attempt that gives rise to this
     * @param fraction the factor by which the window is narrowed
     * @param floor the floor of the window
     */
    void narrowWindow(long duration, double fraction, double floor, long now) {
        if (now - duration < lastNarrowedAt) {
            return;
        }
        lastNarrowedAt = now;
        window = Math.max(Math.min(window, floor), Math.min(window, outstanding + 1) * fraction);
    }

    /** Ejects the server for a time: no attempts are sent to an ejected server. */
    void eject(long nanos, long now) {
        ejectedAt = now;
        ejectedUntil = now + nanos;
    }

    /** Clears the record of the previous process after the server has restarted. */
    void restarted() {
        failureScore = 0;
        firstAnswerAt = 0;
        firstSentAt = 0;
        unansweredSince = 0;
    }
}
