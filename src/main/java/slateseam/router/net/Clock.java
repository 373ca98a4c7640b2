package slateseam.router.net;

/** Where the program takes the time from; tests drive one by hand. */
@FunctionalInterface
public interface Clock {
    /** A millisecond, in nanoseconds. */
    long MILLI = 1_000_000L;
    /** A property of the virtual machine by which a trial lets a router's clock be wrong; it says so in its log. */
    String AHEAD_MILLIS = "slateseam.trial.clock_ahead_ms";

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
        long anchor = (System.currentTimeMillis() + aheadMillis()) * MILLI - System.nanoTime();
        return () -> anchor + System.nanoTime();
    }

    /** By how much a trial lets the system's clock be ahead; 0 in service. */
    static long aheadMillis() {
        return Long.getLong(AHEAD_MILLIS, 0);
    }
}
