package slateseam.standin;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The idempotency keys of writes that were begun lately, one table for all servers and the origin. It holds those of
 * one window.
 */
public final class Receipts {
    private final Clockwork clock;
    private final long windowNanos;
    /** When the write of each was begun, the oldest first. */
    private final Map<String, Long> begun = new LinkedHashMap<>();

    /**
     * Creates an empty table.
     *
     * @param windowNanos for so long after a write was begun its repeats are dropped, 0 to an hour
     */
    public Receipts(Clockwork clock, long windowNanos) {
        Range.span("window of repeats", windowNanos);
        this.clock = clock;
        this.windowNanos = windowNanos;
    }

    /** Whether a write is a repeat within the window; if not, it counts as begun now. */
    boolean isRepeat(String idempotencyKey) {
        long now = clock.now();
        Iterator<Long> oldest = begun.values().iterator();
        while (oldest.hasNext() && oldest.next() + windowNanos <= now) {
            oldest.remove();
        }
        return begun.putIfAbsent(idempotencyKey, now) != null;
    }
}
