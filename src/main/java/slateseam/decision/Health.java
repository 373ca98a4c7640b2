package slateseam.decision;

/**
 * How a member fares with this router: what it has out there, how it failed of late, and its window, which is how
 * much it may have out at once. It counts and keeps times; {@link OutlierDetection} decides what follows. Times are in
 * nanoseconds of the module's clock, 0 is never.
 */
class Health {
    /** Failures in a row, weighted. */
    int failures;
    /** Attempts that are out. */
    int outstanding;
    /** How much may be out at once; below 1 it is the part of an answer time's attempts. */
    double window;
    /** When it first answered this router since its own last start. */
    long provenAt;
    /** When the first attempt went out since then. */
    long firstSentAt;

    long failedAt;
    long ejectedAt;
    long ejectedUntil;
    /** How long the next ejection lasts. */
    long ejection;
    /** When the first attempt went out since something last came back; 0 while nothing is owed. */
    private long unansweredSince;

    private long sentAt;
    private long shrunkAt;

    Health(double window, long ejection) {
        this.window = window;
        this.ejection = ejection;
    }

    /** An attempt goes out. */
    void sent(long now) {
        outstanding++;
        sentAt = now;
        if (firstSentAt == 0) {
            firstSentAt = now;
        }
        if (unansweredSince == 0) {
            unansweredSince = now;
        }
    }

    /** An attempt has ended, however it did. */
    void ended() {
        outstanding = Math.max(0, outstanding - 1);
    }

    /** It has answered. */
    void prove(long now) {
        provenAt = provenAt == 0 ? now : provenAt;
    }

    /** Something of an attempt came back, if not what was asked for. */
    void cameBack() {
        unansweredSince = 0;
    }

    /** For how long nothing has come back though something is owed. */
    long silentFor(long now) {
        return unansweredSince == 0 ? 0 : now - unansweredSince;
    }

    /** Whether an attempt more fits into this part of the window, when answers usually take so long. */
    boolean hasRoom(double part, double answerTime, long now) {
        // Guards against a cache that slows down when crowded, and stays slow until it gets some rest.
        return outstanding < Math.max(1, window * part) && (window >= 1 || now - sentAt >= answerTime / window);
    }

    /** Widens the window by one for each window of answers, while it is used. */
    void grow() {
        if (outstanding + 1 >= window / 2) {
            window += 1 / Math.max(1, window);
        }
    }

    /** Narrows the window to a part of what is in use, once for the attempts that were out together. */
    void shrink(long duration, double part, double least, long now) {
        if (now - duration < shrunkAt) {
            return;
        }
        shrunkAt = now;
        window = Math.max(Math.min(window, least), Math.min(window, outstanding + 1) * part);
    }

    /** Leaves it alone for a time. */
    void eject(long nanos, long now) {
        ejectedAt = now;
        ejectedUntil = now + nanos;
    }

    /** A new process of the same member: what the old one did is not held against it. */
    void restarted() {
        failures = 0;
        provenAt = 0;
        firstSentAt = 0;
        unansweredSince = 0;
    }
}
