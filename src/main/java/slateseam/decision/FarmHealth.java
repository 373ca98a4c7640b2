package slateseam.decision;

import java.util.List;

/**
 * Aggregates the health of all ready caches of the farm, to tell a failure common to most of them from the failure of
 * one. This class counts; {@link OutlierDetection} decides on ejections. Each count visits every ready cache.
 */
final class FarmHealth {
    private List<? extends Health> caches = List.of();

    /** Sets the caches that are ready now. */
    void setReady(List<? extends Health> ready) {
        caches = ready;
    }

    /** Returns the fraction of the ready caches that have failed since a time; 0 if there are no ready caches. */
    double failedFraction(long since) {
        return fraction(caches.stream()
                .filter(server -> server.lastFailureAt != 0 && server.lastFailureAt >= since)
                .count());
    }

    /**
     * Returns the fraction of the ready caches whose failure score has reached a threshold: each of these is ejected,
     * or gets a trial request before any others.
     */
    double ejectedFraction(int threshold) {
        return fraction(caches.stream()
                .filter(server -> server.failureScore >= threshold)
                .count());
    }

    /** Returns the fraction of the ready caches whose first answer since their last start came before a time. */
    double answeredFraction(long before) {
        return fraction(caches.stream()
                .filter(server -> server.firstAnswerAt != 0 && server.firstAnswerAt < before)
                .count());
    }

    /**
     * Revokes the recent ejections of caches that still respond, once most caches fail: those ejected first failed for
     * the same reason as the others. Also widens the windows of the caches that failed recently.
     *
     * @param since the time from which on ejections and failures are recent
     * @param maxSilence the longest silence, in nanoseconds, of a cache whose ejection is revoked
     * @param threshold the failure score that ejects; a readmitted cache is left with a score of one less
     * @param minWindow the smallest window that a cache which failed recently is left with
     */
    void revokeEjections(long since, long maxSilence, int threshold, double minWindow, long now) {
        for (Health server : caches) {
            if (server.failureScore >= threshold
                    && server.ejectedAt >= since
                    && server.silenceNanos(now) <= maxSilence) {
                server.failureScore = threshold - 1;
                server.ejectedUntil = now;
            }
            if (server.lastFailureAt >= since) {
                server.window = Math.max(server.window, minWindow);
            }
        }
    }

    private double fraction(long count) {
        return caches.isEmpty() ? 0 : (double) count / caches.size();
    }
}
