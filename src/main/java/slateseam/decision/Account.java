package slateseam.decision;

/** One router's part of a budget that all routers divide, its demand, and what it may spend at once. */
final class Account {
    /** A whole budget, in indivisible parts so that transfers are exact. */
    static final int WHOLE = 1 << 30;

    /** This router's own part of the whole: an even share and what its neighbours moved; below 0 while it owes. */
    int units;
    /** What ledgers that have not been heard since the start are taken to say; what they owe this router is not used. */
    int unheard;
    /** What it holds beside for a neighbour that has vanished. */
    int inherited;
    /** Whether it must not be used now: others may use it. */
    boolean rests;
    /** The whole budget a second. */
    double rate;
    /** What is asked for. */
    final Tally demand = new Tally();

    private double tokens;

    Account(double rate, int units) {
        this.rate = rate;
        this.units = units;
    }

    /** All that this router may use, in units; below 0 while it owes. */
    int held() {
        return rests ? Math.min(0, booked()) : booked();
    }

    /** The same by the books, whether or not it may be used now. */
    int booked() {
        return own() + inherited;
    }

    /** Its own part, as far as is known. */
    int own() {
        return units + Math.min(0, unheard);
    }

    /** The supply of a second. */
    double supply() {
        return Math.max(0, held()) * rate / WHOLE;
    }

    /** Adds the supply of some seconds, keeping at most a burst. */
    void accrue(double seconds, double burst) {
        tokens = Math.min(burst, tokens + supply() * seconds);
    }

    /** Counts a demand of one and takes it if there is as much. */
    boolean ask() {
        demand.count();
        return take();
    }

    boolean take() {
        boolean enough = tokens >= 1;
        if (enough) {
            tokens--;
        }
        return enough;
    }
}
