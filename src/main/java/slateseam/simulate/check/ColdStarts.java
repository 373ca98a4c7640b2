package slateseam.simulate.check;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/** What routers sent to servers that started lately, by whether they had been told of the start. */
final class ColdStarts {
    /** The part of the work that must come from routers that were told, for a fall to be their doing. */
    private static final double MOST = 2.0 / 3;

    private static final int MOST_KEPT = 4096;

    private record Sent(long nanos, boolean told) {}

    private static final class Start {
        final long nanos;
        final Deque<Sent> sent = new ArrayDeque<>();

        Start(long nanos) {
            this.nanos = nanos;
        }
    }

    private final long fallNanos;
    private final Map<String, Start> starts = new HashMap<>();

    ColdStarts(long fallNanos) {
        this.fallNanos = fallNanos;
    }

    void started(String host, long now) {
        starts.put(host, new Start(now));
    }

    void sent(RouterState router, String dial, long now) {
        String host = starts.isEmpty() ? null : router.told.hostAt(dial);
        Start start = host == null ? null : starts.get(host);
        if (start != null) {
            start.sent.add(new Sent(now, router.told.bornMillis(host) * 1_000_000L >= start.nanos - 1_000_000L));
            while (start.sent.size() > MOST_KEPT || start.sent.peek().nanos < now - 2 * fallNanos) {
                start.sent.poll();
            }
        }
    }

    /**
     * A server fell; returns how many of the requests lately sent to it came from routers that were told, or null if
     * too few.
     */
    String fell(String host, long now) {
        Start start = starts.get(host);
        if (start == null) {
            return null;
        }
        long all = 0;
        long told = 0;
        for (Sent sent : start.sent) {
            if (sent.nanos >= now - fallNanos) {
                all++;
                told += sent.told ? 1 : 0;
            }
        }
        return all > 0 && told >= MOST * all
                ? told + " of " + all + " requests in the last " + fallNanos / 1_000_000
                        + " ms came from routers that had been told of its start "
                        + (now - start.nanos) / 1_000_000 + " ms before"
                : null;
    }
}
