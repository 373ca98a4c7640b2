package slateseam.router.net;

/** Where the program takes the time from; tests drive one by hand. */
@FunctionalInterface
public interface Clock {
    /** A millisecond, in nanoseconds. */
    long MILLI = 1_000_000L;

    /** Unix time in nanoseconds; it never goes backwards. */
    long nanos();

    /** Whole milliseconds, rounded up. */
    static long millisUp(long nanos) {
        return (nanos + MILLI - 1) / MILLI;
    }

    /**
     * The system's clock, read as Unix time once and advanced by the monotonic timer. So start times that discovery
     * tells in Unix time map alike at every router, and a step of the wall clock moves no deadline.
     */
    static Clock system() {
        long anchor = System.currentTimeMillis() * MILLI - System.nanoTime();
        return () -> anchor + System.nanoTime();
    }
}
