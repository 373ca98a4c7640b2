package slateseam.decision;

/** How many of something come a second, smoothed over intervals. */
final class Tally {
    private double recent;
    private double perSecond = 1;
    private boolean known;

    /** Counts one. */
    void count() {
        recent++;
    }

    /** How many a second; never under the floor of one an interval. */
    double perSecond() {
        return perSecond;
    }

    /** Whether any have been seen by the end of an interval; until then the figure is a guess. */
    boolean isKnown() {
        return known;
    }

    /** Ends an interval of so many seconds; what came in it weighs so much. */
    void endInterval(double seconds, double weight) {
        // Guards a router that has just started: the first that it sees counts in full.
        perSecond += (known ? weight : 1) * (Math.max(1, recent) / seconds - perSecond);
        known |= recent > 0;
        recent = 0;
    }
}
