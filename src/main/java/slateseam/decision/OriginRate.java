package slateseam.decision;

import slateseam.decision.Api.Outcome;

/**
 * Learns R, the fetches a second that the origin can bear, from how this router's fetches went: additive steps up,
 * a multiplicative cut after overload. R is the rate of the origin's {@link Account}.
 */
final class OriginRate {
    /** Of R in an interval, at most. */
    private static final double MOST_GROWTH = 1.5;
    /** Of R in an interval, for each second since the last cut. */
    private static final double GROWTH = 0.016;

    private static final double LEAST_GROWTH_SECONDS = 2.5;
    /** Of R after overload, on what the origin was just seen to deliver. */
    private static final double CUT = 0.85;
    /** Of the fetches, given up: from there on caches would run empty. */
    private static final double FUTILE = 0.25;

    private static final double FUTILE_WEIGHT = 0.05;
    /** Of the last interval's deliveries: small counts are noisy. */
    private static final double DELIVERED_WEIGHT = 0.4;

    private static final long LONG_AGO = -3600 * Timing.SECOND;
    final FetchTimes fetchTimes = new FetchTimes();
    private final Tally delivered = new Tally();
    private final DecisionContext context;
    private final Account origin;
    private final int evenShare;
    /** Whether R has held back a fetch in this interval. */
    private boolean bound;

    private boolean calm = true;
    private long cutAt = LONG_AGO;
    private double futile;

    OriginRate(DecisionContext context, Account origin, int evenShare) {
        this.context = context;
        this.origin = origin;
        this.evenShare = evenShare;
    }

    /** Takes a fetch from the origin's budget, if there is one. */
    boolean take(boolean beyondShares) {
        boolean taken = beyondShares ? origin.takeBeyondShares() : origin.take();
        bound |= !taken;
        return taken;
    }

    /** Whether so many fetches are given up that those under way had better fill their cache. */
    boolean isFutile() {
        return futile > FUTILE;
    }

    /** Learns R from how a fetch went; overload cuts it once for what was sent since the last cut. */
    void fetchEnded(Outcome outcome, long duration, long aim, boolean givenUp) {
        futile += FUTILE_WEIGHT * ((givenUp ? 1 : 0) - futile);
        if (outcome == Outcome.OK) {
            delivered.count();
            fetchTimes.took(duration);
        }
        calm = fetchTimes.calm(aim);
        fetchTimes.ended(outcome == Outcome.FULL || outcome == Outcome.TIMEOUT);
        double settling = Math.max(2 * Timing.INTERVAL, fetchTimes.recent());
        boolean again = context.now() - cutAt <= settling;
        if (fetchTimes.overloaded(aim) && !again && origin.held() > 0) {
            cut();
        }
    }

    private void cut() {
        cutAt = context.now();
        fetchTimes.forget();
        // Guards against a cut by what was delivered where nothing could be yet: just after a start.
        double seen = delivered.perSecond() * Account.WHOLE / origin.held();
        seen = delivered.isSettled() ? Math.max(origin.rate / 2, seen) : origin.rate;
        origin.rate = Math.max(context.settings().routers(), CUT * Math.min(origin.rate, seen));
    }

    /** Ends an interval; a router that rests learns nothing. */
    void endInterval(boolean resting) {
        delivered.endInterval(Timing.INTERVAL_SECONDS, DELIVERED_WEIGHT);
        long sinceCut = context.now() - cutAt;
        // Guards against a budget that grows unused, or before the queue of the last overload has gone.
        // Or while the ring has brought next to nothing of it: then a larger R is not what is missing.
        double growth = 1 + GROWTH * Math.max(LEAST_GROWTH_SECONDS, (double) sinceCut / Timing.SECOND);
        boolean grows = bound && !resting && calm && origin.held() > evenShare / 4;
        if (grows && sinceCut > 2 * Timing.INTERVAL) {
            origin.rate *= Math.min(MOST_GROWTH, growth);
        }
        bound = false;
    }
}
