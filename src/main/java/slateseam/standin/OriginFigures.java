package slateseam.standin;

/**
 * The origin.
 *
 * @param places requests in work at once, 1 to 4,096
 * @param meanSeconds the mean time of a read in an idle origin, 0 to 60; log-normal
 * @param sigma of the logarithm of that time, 0 to 3
 * @param writeMultiple how much longer a write takes, 0.1 to 100
 * @param queue requests that wait for a place, 0 to 65,536; beyond it 503 at once
 * @param queueNanos after so long in the queue a request is answered 504, never begun
 * @param crowding so much longer all work takes for each full set of places that waits, 0 to 10
 * @param goesOn whether it goes on with reads that nobody waits for, in work and in the queue; a write that has begun
 *     is always carried out
 * @param connections open at once, 1 to 65,536; further ones are refused
 * @param idleNanos after so long without a request a connection is closed
 * @param errorShare the share of requests answered 500, 0 to 1; half of them ran
 * @param chunked whether values come in chunks instead of with a length
 * @param interim interim answers (1xx) ahead of each final one, 0 to 16
 * @param reports whether answers carry a load report
 */
public record OriginFigures(
        int places,
        double meanSeconds,
        double sigma,
        double writeMultiple,
        int queue,
        long queueNanos,
        double crowding,
        boolean goesOn,
        int connections,
        long idleNanos,
        double errorShare,
        boolean chunked,
        int interim,
        boolean reports) {

    /** Checks the figures. */
    public OriginFigures {
        Range.check("origin's places", places, 1, 4_096);
        Range.check("origin's time", meanSeconds, 0, 60);
        Range.check("sigma of the origin's time", sigma, 0, 3);
        Range.check("origin's multiple for writes", writeMultiple, 0.1, 100);
        Range.check("origin's queue", queue, 0, 65_536);
        Range.span("time in the origin's queue", queueNanos);
        Range.check("origin's crowding", crowding, 0, 10);
        Range.check("origin's connections", connections, 1, 65_536);
        Range.span("idle time of the origin's connections", idleNanos);
        Range.share("origin's share of errors", errorShare);
        Range.check("interim answers", interim, 0, 16);
    }

    /** Reads a second that it can do. */
    public double capacity() {
        return meanSeconds == 0 ? Double.POSITIVE_INFINITY : places / meanSeconds;
    }

    /** Some 80 reads a second: a third of all. */
    public static OriginFigures usual() {
        return new OriginFigures(
                6, 0.075, 0.6, 1.5, 400, 1_500_000_000L, 0.1, true, 400, 60_000_000_000L, 0.001, false, 0, false);
    }
}
