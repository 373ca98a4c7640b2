package slateseam.decision;

import java.util.List;

/**
 * Aggregates the health of all ready caches of the farm, to tell a failure common to most of them from the failure of
 * one. This class counts; {@link OutlierDetection} decides on ejections. Each count visits every ready cache.
 */
final class FarmHealth {
    private List<? extends Health> caches = List.of();

    /** Sets the caches that are ready now. */
    void ready(List<? extends Health> ready) {
        caches = ready;
    }

    /** Returns the fraction of the ready caches that have failed since a time; 0 if there are no ready caches. */
    double failedPart(long since) {
        return part(caches.stream()
                .filter(h -> h.failedAt != 0 && h.failedAt >= since)
                .count());
    }

    /**
     * Returns the fraction of the ready caches whose run of failures has reached a limit: each of these is ejected, or
     * gets a trial request before any others.
     */
    double ejectedPart(int failures) {
        return part(caches.stream().filter(h -> h.failures >= failures).count());
    }

    /** Returns the fraction of the ready caches whose first answer since their last start came before a time. */
    double provenPart(long before) {
        return part(caches.stream()
                .filter(h -> h.provenAt != 0 && h.provenAt < before)
                .count());
    }

    /**
     * Revokes the recent ejections of caches that still respond, once most caches fail: those ejected first failed for
     * the same reason as the others. Also widens the windows of the caches that failed recently.
     *
     * @param since the time from which on ejections and failures are recent
     * @param silence the longest silence, in nanoseconds, of a cache whose ejection is revoked
     * @param failures the run of failures that ejects; a readmitted cache is left one short of it
     * @param window the smallest window that a cache which failed recently is left with
     */
    void forgive(long since, long silence, int failures, double window, long now) {
        for (Health h : caches) {
            if (h.failures >= failures && h.ejectedAt >= since && h.silentFor(now) <= silence) {
                h.failures = failures - 1;
                h.ejectedUntil = now;
            }
            if (h.failedAt >= since) {
                h.window = Math.max(h.window, window);
            }
        }
    }

    private double part(long count) {
        return caches.isEmpty() ? 0 : (double) count / caches.size();
    }
}
