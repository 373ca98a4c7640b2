package slateseam.scale;

import java.io.IOException;
import java.util.Locale;

/** Tells whether the machine left this process and the real routers enough processor for their figures to mean anything. */
final class Busyness {
    /** A member that stood still for longer doubts itself, as if it had been paused. */
    private static final long MOST_STALL_NANOS = 300_000_000L;
    /** Of its time that a real router may have waited for a processor. */
    private static final double MOST_DELAY = 0.1;

    private final HollowTier hollow;

    Busyness(HollowTier hollow) {
        this.hollow = hollow;
    }

    /** A phase begins. */
    void begin() throws InterruptedException {
        hollow.takeStall();
    }

    /** Looks at a phase that ends. */
    void end(String phase, ScaleResult result) throws InterruptedException {
        long stall = hollow.takeStall();
        result.add(phase, "hollow routers' longest stall", "ms", java.util.List.of(stall / 1e6), 0);
        if (stall > MOST_STALL_NANOS) {
            result.spoilt(phase, String.format(Locale.ROOT, "the hollow routers stood still for %.0f ms", stall / 1e6));
        }
    }

    /** Looks at what a real router waited for a processor. */
    void delayed(String phase, String router, long delayNanos, double seconds, ScaleResult result) throws IOException {
        double share = delayNanos / 1e9 / seconds;
        if (share > MOST_DELAY) {
            result.spoilt(phase, String.format(Locale.ROOT, "%s waited %.0f%% of its time for a processor", router, 100 * share));
        }
    }
}
