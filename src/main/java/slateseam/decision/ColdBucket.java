package slateseam.decision;

/**
 * A token bucket for the requests that one router may send to one cold cache. A cold cache falls over under the sum of
 * the load of all routers, so the limit must hold for that sum, without communication between the routers.
 *
 * <p>A bucket holds at most the tokens of a quarter of the overload window, or one token if that is less. The bucket
 * is first filled with the tokens of a whole window and a random fraction of one token, up to that capacity.
 * {@link SlowStart} sets the rates so that at full load they add up to half of what the cache can bear in a window.
 * Apart from random variation, all routers together then send no more in the first window than the cache can bear,
 * whatever the demand. If each bucket were full when its cache is first seen, or when its router restarts, each router
 * could send one request at the same instant, however many routers there are.
 *
 * <p>In later windows the bound is half of what the cache can bear plus one request for each router. For up to about
 * 30 routers that is within random variation. With 100 routers the limit is exceeded only if all of them send nothing
 * to the cache for some seconds and then send at the same time. Tokens that expire would rule that out, but then many
 * routers with little traffic each would hardly use the warm-up (7% of the load that the cache may get).
 */
final class ColdBucket {
    private static final double NANOS_PER_SECOND = 1e9;
    /** The capacity of a bucket as a fraction of the tokens issued in one window. */
    private static final double CAPACITY_FRACTION = 0.25;

    private final double initialFraction;
    private double tokens;
    private long lastTakeAt;
    /** Whether the first fill has been made. */
    private boolean filled;

    /**
     * Creates a bucket.
     *
     * @param initialFraction the fraction of a token, from 0 to 1, added to the first fill; each router draws its own
     */
    ColdBucket(double initialFraction) {
        this.initialFraction = initialFraction;
    }

    /**
     * Takes a token if there is one.
     *
     * @param perSecond the tokens that are issued a second at present
     * @param windowNanos the window over which an overload makes the cache fall over
     * @param now the present time in nanoseconds
     * @return whether a token was taken
     */
    boolean take(double perSecond, long windowNanos, long now) {
        double windowTokens = perSecond * windowNanos / NANOS_PER_SECOND;
        tokens = filled ? tokens + perSecond * (now - lastTakeAt) / NANOS_PER_SECOND : windowTokens + initialFraction;
        tokens = Math.min(tokens, Math.max(1, CAPACITY_FRACTION * windowTokens));
        filled = true;
        lastTakeAt = now;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
