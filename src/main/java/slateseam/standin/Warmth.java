package slateseam.standin;

/** The part of its capacity that a server has: from a share at its start evenly up to 1. */
final class Warmth {
    private static final double SECOND = 1e9;

    private final long start;
    private final double share;
    private final double seconds;

    /** Warm from the beginning if {@code nanos} is 0. */
    Warmth(long start, double share, long nanos) {
        this.start = start;
        this.share = nanos == 0 ? 1 : share;
        this.seconds = nanos / SECOND;
    }

    boolean isCold(long now) {
        return (now - start) / SECOND < seconds;
    }

    double at(long now) {
        return isCold(now) ? share + slope() * ((now - start) / SECOND) : 1;
    }

    private double slope() {
        return (1 - share) / seconds;
    }

    /** The integral over time, in seconds of full capacity. */
    double between(long from, long to) {
        if (!isCold(from)) {
            return (to - from) / SECOND;
        }
        double x = (from - start) / SECOND;
        double end = (to - start) / SECOND;
        double cold = Math.min(end, seconds);
        return (cold - x) * (share + slope() * (x + cold) / 2) + (end - cold);
    }

    /** When the integral from a time on reaches so many seconds of full capacity; at least 1 ns later. */
    long reaches(long from, double amount) {
        double length = amount;
        if (isCold(from)) {
            double now = at(from);
            double left = seconds - (from - start) / SECOND;
            double whole = left * (now + 1) / 2;
            length = amount >= whole
                    ? left + amount - whole
                    : 2 * amount / (now + Math.sqrt(now * now + 2 * slope() * amount));
        }
        return from + Math.max(1, (long) Math.ceil(length * SECOND));
    }
}
