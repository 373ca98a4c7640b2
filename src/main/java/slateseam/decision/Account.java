package slateseam.decision;

/** One router's part of a budget that all routers divide, its demand, and what it may spend at once. */
final class Account {
    /** A whole budget, in indivisible parts so that transfers are exact. */
    static final int WHOLE = 1 << 30;

    /** Of the demand within shares, reserved for it: demand comes in bursts, and what waits for supply is late. */
    private static final double HEADROOM = 1.25;
    /** Of what may be spent at once beyond the first, kept for demand within shares. */
    private static final double RESERVED_BURST = 0.75;

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
    /** What is asked for, but for what is counted as beyond tenants' shares. */
    final Tally demand = new Tally();
    /** What is asked for beyond tenants' shares. */
    final Tally beyondShares = new Tally(0);

    private double tokens;
    private double burst = 1;

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

    /**
     * The demand by which supply is divided, a second: the fill ratio of this account is its supply by this. Guards
     * against a tenant whose overload at one router draws the supply that others need within their shares: up to
     * {@link #HEADROOM} times the demand within shares, supply is divided by that demand alone. Only what is left over
     * everywhere is divided by all demand. Without demand beyond shares this is the demand.
     */
    double fillDemand(double wholeRate) {
        double within = demand.perSecond();
        double reserved = HEADROOM * within;
        double supply = Math.max(0, held()) * wholeRate / WHOLE;
        if (supply <= reserved) {
            return within;
        }
        double fillRatio = HEADROOM + (supply - reserved) / (within + beyondShares.perSecond());
        return supply / fillRatio;
    }

    /** Ends an interval of the demand's measurement. */
    void endInterval() {
        demand.endInterval(Timing.INTERVAL_SECONDS, Timing.DEMAND_WEIGHT);
        beyondShares.endInterval(Timing.INTERVAL_SECONDS, Timing.DEMAND_WEIGHT);
    }

    /** Adds the supply of some seconds, keeping at most a burst. */
    void accrue(double seconds, double burst) {
        this.burst = burst;
        tokens = Math.min(burst, tokens + supply() * seconds);
    }

    /** Counts a demand of one and takes it if there is as much. */
    boolean ask() {
        demand.count();
        return take();
    }

    /** Takes one beyond shares, if enough is left for a burst of demand within. */
    boolean takeBeyondShares() {
        return tokens >= 1 + RESERVED_BURST * (burst - 1) && take();
    }

    boolean take() {
        boolean enough = tokens >= 1;
        if (enough) {
            tokens--;
        }
        return enough;
    }
}
