package slateseam.standin;

/** Checks of figures: each failure names the figure, its value and what it may be. */
final class Range {
    private static final long HOUR_NANOS = 3_600_000_000_000L;

    private Range() {}

    static void check(String name, double value, double least, double most) {
        if (!(value >= least && value <= most)) {
            throw new IllegalArgumentException(
                    name + " is " + text(value) + ", not from " + text(least) + " to " + text(most));
        }
    }

    /** A share from 0 to 1. */
    static void share(String name, double value) {
        check(name, value, 0, 1);
    }

    /** A span of time up to an hour. */
    static void span(String name, long nanos) {
        check(name, nanos, 0, HOUR_NANOS);
    }

    private static String text(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? Long.toString((long) value)
                : Double.toString(value);
    }
}
