package slateseam.decision;

/**
 * A token bucket for what one router may send to one cold cache. A cold cache falls under the sum of what all routers send, so
 * what holds must hold for that sum, without a word between them.
 *
 * <p>With a rate of r tokens a second and a window of W it holds at most a quarter of a window's tokens, but one where that is
 * less, and it begins with those of one window and a drawn part of one. As the rates add up to half of what the cache bears in a
 * window ({@link SlowStart} sets them so, for caches at full load), all routers together send at most the whole of it in the first
 * window, whatever they want to send, but for chance. A bucket that is full when its cache is first seen, as one that begins
 * anew with its router, lets through one for each router in one instant, however many there are.
 *
 * <p>Later the bound is half of what the cache bears and one for each router. Up to some thirty routers that stays within chance.
 * Of a hundred it takes all of them to stay away from the cache for some seconds and then to come together to go beyond it; a
 * token that does not last would forbid that too, but then many thin routers hardly use the warm-up (7% of what is due).
 */
final class ColdBucket {
    private static final double SECOND = 1e9;
    private static final double BURST_PART = 0.25;
    private final double phase;
    private double tokens;
    private long seenAt;
    private boolean seen;

    /** Creates one at a phase of 0 to 1, to be drawn apart from other routers'. */
    ColdBucket(double phase) {
        this.phase = phase;
    }

    /** Takes a token if there is one, when so many are issued a second and the cache may fall within a window. */
    boolean take(double perSecond, long windowNanos, long now) {
        double ofAWindow = perSecond * windowNanos / SECOND;
        tokens = seen ? tokens + perSecond * (now - seenAt) / SECOND : ofAWindow + phase;
        tokens = Math.min(tokens, Math.max(1, BURST_PART * ofAWindow));
        seen = true;
        seenAt = now;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
