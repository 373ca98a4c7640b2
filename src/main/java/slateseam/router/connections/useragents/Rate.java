package slateseam.router.connections.useragents;

/** How many of something come a second: follows a rise within a tenth of a second, and a fall within about one. */
final class Rate {
    private static final long WINDOW_NANOS = 100_000_000L;
    private static final double WINDOWS_A_SECOND = 10;
    private static final double KEPT = 0.8;

    private long windowStart;
    private int count;
    private double perSecond;

    void count(long now) {
        roll(now);
        count++;
    }

    double perSecond(long now) {
        roll(now);
        return Math.max(perSecond, count * WINDOWS_A_SECOND);
    }

    private void roll(long now) {
        long windows = (now - windowStart) / WINDOW_NANOS;
        if (windows > 0) {
            perSecond =
                    Math.max(count * WINDOWS_A_SECOND, perSecond * KEPT) * Math.pow(KEPT, Math.min(100, windows - 1));
            count = 0;
            windowStart += windows * WINDOW_NANOS;
        }
    }
}
