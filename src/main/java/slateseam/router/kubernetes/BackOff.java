package slateseam.router.kubernetes;

import java.util.SplittableRandom;
import slateseam.router.net.Clock;

/**
 * How long to wait before the next try: longer with each failure, and drawn, so that routers do not come back together.
 */
final class BackOff {
    static final long LEAST_NANOS = 50 * Clock.MILLI;
    static final long MOST_NANOS = 10_000 * Clock.MILLI;
    /** A server that asks for more is asked again after so long all the same. */
    static final long MOST_ASKED_NANOS = 60_000 * Clock.MILLI;

    private final SplittableRandom random;
    private int failures;

    BackOff(SplittableRandom random) {
        this.random = random;
    }

    /** Something went well: the next failure is the first. */
    void reset() {
        failures = 0;
    }

    /** Counts a failure. */
    void failed() {
        failures++;
    }

    /** How many failures there were in a row. */
    int failures() {
        return failures;
    }

    /**
     * For how long to wait after the failures so far: from 50 ms up to a bound of 100 ms, which doubles with each from
     * the third on, 10 s at most.
     *
     * @param askedNanos for how long the server asked to be left alone; comes on top, up to 60 s
     */
    long nanos(long askedNanos) {
        long most = Math.min(MOST_NANOS, LEAST_NANOS << Math.max(1, Math.min(failures - 1, 20)));
        return Math.min(MOST_ASKED_NANOS, askedNanos) + LEAST_NANOS + random.nextLong(most - LEAST_NANOS + 1);
    }
}
