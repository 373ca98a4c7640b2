package slateseam.decision;

import java.util.List;

/**
 * What happens to the ready caches of the farm at the same time, so that none is blamed for what befalls most of them.
 * It counts; {@link OutlierDetection} decides. As many entries as the list has ready caches; each count looks at all of them.
 */
final class FarmHealth {
    private List<? extends Health> caches = List.of();

    /** Takes the caches that are ready now. */
    void ready(List<? extends Health> ready) {
        caches = ready;
    }

    /** The part of the caches that have failed since a time; 0 where there is none. */
    double failedPart(long since) {
        return part(caches.stream()
                .filter(h -> h.failedAt != 0 && h.failedAt >= since)
                .count());
    }

    /** The part that has so many failures in a row that it is left alone, or is to be tried first. */
    double ejectedPart(int failures) {
        return part(caches.stream().filter(h -> h.failures >= failures).count());
    }

    /** The part that first answered this router, since its own last start, before a time. */
    double provenPart(long before) {
        return part(caches.stream()
                .filter(h -> h.provenAt != 0 && h.provenAt < before)
                .count());
    }

    /**
     * Takes back the ejections since a time of those that have not been silent for longer than this: they were the
     * first of many. Each is left one failure short of this many, and with at least this window.
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
