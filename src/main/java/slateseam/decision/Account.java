package slateseam.decision;

/**
 * One router's part of a budget that all routers share (its supply), with the demand for it at this router and the
 * token bucket from which requests are paid. The budget is the origin's, or one tenant's share. Supply is counted in
 * units, of which the whole budget has {@link #WHOLE}; rates and demand are per second.
 */
final class Account {
    /** Units of a whole budget. Units are integers, so that transfers are exact. */
    static final int WHOLE = 1 << 30;

    /**
     * Multiple of the demand within shares that is reserved for that demand: it comes in bursts, and a request that has
     * to wait for supply is late.
     */
    private static final double DEMAND_HEADROOM = 1.25;
    /** Fraction of the burst, apart from the first token, that is kept for demand within shares. */
    private static final double RESERVED_BURST_FRACTION = 0.75;

    /**
     * This router's own supply: an even share plus the net sum of all transfers; below 0 while the router owes
     * supply.
     */
    int units;
    /**
     * Assumed balance of the ledgers whose other end has not been heard since this router started. Only a debt counts:
     * supply that those ledgers owe this router is not used.
     */
    int assumedBalance;
    /** Supply that this router uses on behalf of neighbours that have vanished. */
    int inherited;
    /** Whether this supply must not be used now because other routers may be using it. */
    boolean suspended;
    /** The whole budget of the tier, per second. */
    double rate;
    /** Demand within tenants' shares: all demand that is not counted in {@link #beyondShares}. */
    final Tally demand = new Tally();
    /** Demand beyond tenants' shares. */
    final Tally beyondShares = new Tally(0);

    private double tokens;
    private double burst = 1;

    Account(double rate, int units) {
        this.rate = rate;
        this.units = units;
    }

    /** Returns the units that this router may use now; below 0 while it owes supply. */
    int held() {
        return suspended ? Math.min(0, ownAndInherited()) : ownAndInherited();
    }

    /** Returns the units of {@link #held()} whether or not they may be used now. */
    int ownAndInherited() {
        return own() + inherited;
    }

    /** Returns this router's own units, less what it may owe by ledgers that it has not heard yet. */
    int own() {
        return units + Math.min(0, assumedBalance);
    }

    /** Returns the usable supply per second. */
    double supply() {
        return Math.max(0, held()) * rate / WHOLE;
    }

    /**
     * Returns the demand per second by which the supply is divided to get the account's fill ratio. Up to {@link
     * #HEADROOM} times the demand within shares, supply is divided by that demand alone; only supply beyond that is
     * divided by all demand. Guards against a tenant whose overload at one router draws the supply that other routers
     * need within their shares. Without demand beyond shares the result is the demand.
     *
     * @param wholeRate the whole budget per second
     */
    double fillDemand(double wholeRate) {
        double within = demand.perSecond();
        double reserved = DEMAND_HEADROOM * within;
        double supply = Math.max(0, held()) * wholeRate / WHOLE;
        if (supply <= reserved) {
            return within;
        }
        double fillRatio = DEMAND_HEADROOM + (supply - reserved) / (within + beyondShares.perSecond());
        return supply / fillRatio;
    }

    /** Ends a measuring interval of the demand. */
    void endInterval() {
        demand.endInterval(Timing.INTERVAL_SECONDS, Timing.DEMAND_WEIGHT);
        beyondShares.endInterval(Timing.INTERVAL_SECONDS, Timing.DEMAND_WEIGHT);
    }

    /** Adds the supply of the given number of seconds to the token bucket, which holds at most {@code burst} tokens. */
    void accrue(double seconds, double burst) {
        this.burst = burst;
        tokens = Math.min(burst, tokens + supply() * seconds);
    }

    /** Counts one request as demand and takes a token; returns whether there was one. */
    boolean countAndTake() {
        demand.count();
        return take();
    }

    /** Takes a token for demand beyond shares, if enough are left for a burst of demand within shares. */
    boolean takeBeyondShares() {
        return tokens >= 1 + RESERVED_BURST_FRACTION * (burst - 1) && take();
    }

    /** Takes a token; returns whether there was one. */
    boolean take() {
        boolean enough = tokens >= 1;
        if (enough) {
            tokens--;
        }
        return enough;
    }
}
