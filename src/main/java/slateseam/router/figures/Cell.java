package slateseam.router.figures;

import slateseam.router.net.Clock;

/**
 * The requests of one class, tenant and ending since the last flush: how many, and their times in so many classes, each
 * twice as wide as the one before, so that memory and lines do not grow with the requests.
 */
final class Cell {
    private static final int TIMES = 14;
    private static final double MILLI = Clock.MILLI;

    private final int[] counts = new int[TIMES];
    private final long[] nanos = new long[TIMES];
    private long most;

    void add(long time) {
        long spent = Math.max(0, time);
        int place = Math.min(TIMES - 1, Long.SIZE - Long.numberOfLeadingZeros(spent / Clock.MILLI));
        counts[place]++;
        nanos[place] += spent;
        most = Math.max(most, spent);
    }

    long count() {
        long all = 0;
        for (int count : counts) {
            all += count;
        }
        return all;
    }

    int classesOfTimes() {
        return TIMES;
    }

    int count(int place) {
        return counts[place];
    }

    /** The mean of a class of times, in milliseconds. */
    double mean(int place) {
        return tenths(nanos[place] / MILLI / counts[place]);
    }

    double mean() {
        double all = 0;
        for (long sum : nanos) {
            all += sum;
        }
        return tenths(all / MILLI / count());
    }

    double most() {
        return tenths(most / MILLI);
    }

    private static double tenths(double millis) {
        return Math.round(millis * 10) / 10.0;
    }
}
