package slateseam.router.connections.useragents;

/**
 * Estimates the number of events per second. The estimate follows a rise within 0.1 s, and a fall within about 1 s.
 */
final class Rate {
    private static final long WINDOW_NANOS = 100_000_000L;
    private static final double WINDOWS_PER_SECOND = 10;
    private static final double DECAY_PER_WINDOW = 0.8;

    private long windowStart;
    private int count;
    private double perSecond;

    void count(long now) {
        roll(now);
        count++;
    }

    double perSecond(long now) {
        roll(now);
        return Math.max(perSecond, count * WINDOWS_PER_SECOND);
    }

    private void roll(long now) {
        long windows = (now - windowStart) / WINDOW_NANOS;
        if (windows > 0) {
            perSecond = Math.max(count * WINDOWS_PER_SECOND, perSecond * DECAY_PER_WINDOW)
                    * Math.pow(DECAY_PER_WINDOW, Math.min(100, windows - 1));
            count = 0;
            windowStart += windows * WINDOW_NANOS;
        }
    }
}
