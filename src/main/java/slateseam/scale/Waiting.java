package slateseam.scale;

import java.io.IOException;
import slateseam.router.net.Clock;

/** Waits within the time of a run; ended by whoever ends the run. */
final class Waiting {
    private static final long LONGEST_PAUSE_MILLIS = 200;

    /** The run has had all its time. */
    static final class TimeOverException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        TimeOverException(String message) {
            super(message);
        }
    }

    /** What is waited for. */
    interface Condition {
        boolean holds() throws IOException, InterruptedException;
    }

    private final Clock clock;
    private final long begin;
    private final double mostSeconds;
    private final Runnable check;
    private volatile boolean ended;

    /**
     * The run begins now.
     *
     * @param mostSeconds of the whole run
     * @param check looks again and again whether the run can go on, and throws if it cannot
     */
    Waiting(Clock clock, double mostSeconds, Runnable check) {
        this.clock = clock;
        this.begin = clock.nanos();
        this.mostSeconds = mostSeconds;
        this.check = check;
    }

    /** Whoever waits is interrupted, now or as soon as it waits. */
    void end() {
        ended = true;
    }

    double secondsSince(long nanos) {
        return (clock.nanos() - nanos) / 1e9;
    }

    /** Waits for something, for so long at the most; whether it came. */
    boolean await(double seconds, long lookMillis, Condition condition) throws IOException, InterruptedException {
        long since = clock.nanos();
        while (!condition.holds()) {
            if (secondsSince(since) > seconds) {
                return false;
            }
            pause(lookMillis);
        }
        return true;
    }

    void sleep(double seconds) throws InterruptedException {
        long until = clock.nanos() + (long) (seconds * 1e9);
        for (long left; (left = (until - clock.nanos()) / Clock.MILLI) > 0; ) {
            pause(Math.min(left, LONGEST_PAUSE_MILLIS));
        }
    }

    private void pause(long millis) throws InterruptedException {
        if (ended) {
            throw new InterruptedException();
        }
        if (secondsSince(begin) > mostSeconds) {
            throw new TimeOverException("the run was given up after " + mostSeconds + " s");
        }
        check.run();
        Thread.sleep(millis);
    }
}
