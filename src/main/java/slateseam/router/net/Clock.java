package slateseam.router.net;

/** Where the program takes the time from; tests drive one by hand. */
@FunctionalInterface
public interface Clock {
    /** Unix time in nanoseconds; it never goes backwards. */
    long nanos();

    /**
     * The system's clock, read as Unix time once and advanced by the monotonic timer. So start times that discovery
     * tells in Unix time map alike at every router, and a step of the wall clock moves no deadline.
     */
    static Clock system() {
        long anchor = System.currentTimeMillis() * 1_000_000L - System.nanoTime();
        return () -> anchor + System.nanoTime();
    }
}
