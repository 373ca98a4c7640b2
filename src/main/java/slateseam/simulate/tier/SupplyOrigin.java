package slateseam.simulate.tier;

import java.util.SplittableRandom;

/** An origin with one queue: it does so many fetches a second, and turns away what would wait for too long. */
final class SupplyOrigin {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final long LEAST = 20 * MILLI;
    private static final long MORE = 10 * MILLI;
    private static final long LONGEST_QUEUE = 400 * MILLI;

    /** How a fetch ends, and after how long. */
    record Answer(boolean served, long nanos) {}

    private final long each;
    private final SplittableRandom random;
    private long freeAt;

    SupplyOrigin(double perSecond, SplittableRandom random) {
        this.each = Math.max(1, Math.round(SECOND / perSecond));
        this.random = random;
    }

    /** A fetch arrives. */
    Answer fetch(long now) {
        long waits = Math.max(0, freeAt - now);
        if (waits > LONGEST_QUEUE) {
            return new Answer(false, MILLI);
        }
        freeAt = now + waits + each;
        return new Answer(true, waits + LEAST + random.nextLong(MORE));
    }
}
