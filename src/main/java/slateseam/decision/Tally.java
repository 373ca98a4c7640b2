package slateseam.decision;

/** How many of something come a second, smoothed over intervals. */
final class Tally {
    /** Intervals that are counted; from then on the stated weight is the greater by far. */
    private static final int MOST = 1000;
    /** Intervals after which it is no longer that of a start, or of one process beside another. */
    private static final int SETTLED = 4;

    private final double floor;
    private double recent;
    private double perSecond;
    private int intervals;

    /** Counts with a floor of one an interval, so that what divides by the figure is safe at no load. */
    Tally() {
        this(1);
    }

    /** Counts with a floor of so many an interval. */
    Tally(double floor) {
        this.floor = floor;
        this.perSecond = floor;
    }

    /** Counts one. */
    void count() {
        recent++;
    }

    /** How many a second; never under the floor. */
    double perSecond() {
        return perSecond;
    }

    /** Whether any have been seen by the end of an interval; until then the figure is a guess. */
    boolean isKnown() {
        return intervals > 0;
    }

    /** Whether it has been counted for long enough: the first intervals may have had only a part of what comes. */
    boolean isSettled() {
        return intervals >= SETTLED;
    }

    /** Ends an interval of so many seconds; what came in it weighs so much at least. */
    void endInterval(double seconds, double weight) {
        // Guards a router that has just started: the first intervals in which any came count alike.
        intervals = recent > 0 || intervals > 0 ? Math.min(MOST, intervals + 1) : 0;
        perSecond += Math.max(weight, 1.0 / Math.max(1, intervals)) * (Math.max(floor, recent) / seconds - perSecond);
        recent = 0;
    }
}
