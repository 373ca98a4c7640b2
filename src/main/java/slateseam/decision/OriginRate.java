package slateseam.decision;

import slateseam.decision.Api.Outcome;

/**
 * Learns R, the number of fetches per second that the origin can bear, from the outcomes of this router's fetches: R
 * grows slowly while it limits the fetches, and is cut by a factor after an overload. R is the rate of the origin's
 * {@link Account}.
 */
final class OriginRate {
    /** The largest factor by which R grows in an interval. */
    private static final double MAX_GROWTH_FACTOR = 1.5;
    /** Growth of R in an interval, as a fraction of R, for each second since the last cut. */
    private static final double GROWTH_PER_SECOND = 0.016;

    /** Lower bound of the seconds since the last cut that count for the growth of R. */
    private static final double MIN_GROWTH_SECONDS = 2.5;
    /** After an overload R is cut to this fraction of what the origin was last seen to deliver. */
    private static final double CUT_FACTOR = 0.85;
    /**
     * Above this fraction of fetches given up, fetches are no longer cancelled: otherwise the caches would run empty.
     */
    private static final double MAX_GIVEN_UP_FRACTION = 0.25;

    /** Weight of one fetch in the fraction of fetches given up. */
    private static final double GIVEN_UP_WEIGHT = 0.05;
    /** Weight of the last interval in the rate of deliveries; it is small because small counts are noisy. */
    private static final double DELIVERED_WEIGHT = 0.4;

    /** Time of the last cut while there was none: an hour before the clock's 0, so that nothing waits for it. */
    private static final long NEVER_NANOS = -3600 * Timing.SECOND;

    final FetchTimes fetchTimes = new FetchTimes();
    private final Tally delivered = new Tally();
    private final DecisionContext context;
    private final Account origin;
    private final int evenShare;
    /** Whether lack of supply has held back a fetch in this interval. */
    private boolean heldBack;

    /** Whether no queue was seen at the origin at the last fetch. */
    private boolean calm = true;

    private long cutAt = NEVER_NANOS;
    /** Recent fraction of fetches that were given up before they ended. */
    private double givenUpFraction;

    OriginRate(DecisionContext context, Account origin, int evenShare) {
        this.context = context;
        this.origin = origin;
        this.evenShare = evenShare;
    }

    /**
     * Pays for a fetch from this router's part of the origin's budget.
     *
     * @return whether there was enough supply
     */
    boolean take(boolean beyondShares) {
        boolean taken = beyondShares ? origin.takeBeyondShares() : origin.take();
        heldBack |= !taken;
        return taken;
    }

    /** Returns whether so many fetches are given up that the ones in progress should be finished to fill the cache. */
    boolean isFutile() {
        return givenUpFraction > MAX_GIVEN_UP_FRACTION;
    }

    /**
     * Updates R by the outcome of a fetch. An overload cuts R only once until fetches sent before the cut have ended.
     *
     * @param duration the fetch's duration in nanoseconds
     * @param aim the latency target of the request in nanoseconds
     * @param givenUp whether nobody waited for the fetch any more
     */
    void fetchEnded(Outcome outcome, long duration, long aim, boolean givenUp) {
        givenUpFraction += GIVEN_UP_WEIGHT * ((givenUp ? 1 : 0) - givenUpFraction);
        if (outcome == Outcome.OK) {
            delivered.count();
            fetchTimes.took(duration);
        }
        calm = fetchTimes.calm(aim);
        fetchTimes.ended(outcome == Outcome.FULL || outcome == Outcome.TIMEOUT);
        double settlingNanos = Math.max(2 * Timing.INTERVAL, fetchTimes.recent());
        boolean alreadyCut = context.now() - cutAt <= settlingNanos;
        if (fetchTimes.overloaded(aim) && !alreadyCut && origin.held() > 0) {
            cut();
        }
    }

    private void cut() {
        cutAt = context.now();
        fetchTimes.forget();
        // Just after a start nothing can have been delivered yet, so the rate of deliveries must not set R.
        double deliveredPerSecond = delivered.perSecond() * Account.WHOLE / origin.held();
        deliveredPerSecond = delivered.isSettled() ? Math.max(origin.rate / 2, deliveredPerSecond) : origin.rate;
        origin.rate = Math.max(context.settings().routers(), CUT_FACTOR * Math.min(origin.rate, deliveredPerSecond));
    }

    /**
     * Ends a measuring interval: lets R grow if it has held back fetches and the origin shows no queue.
     *
     * @param onStandby whether this process is on standby; then R does not grow
     */
    void endInterval(boolean onStandby) {
        delivered.endInterval(Timing.INTERVAL_SECONDS, DELIVERED_WEIGHT);
        long sinceCut = context.now() - cutAt;
        // R must not grow while it is not used up, nor before the queue of the last overload has gone, nor while this
        // router holds next to nothing of the budget: then a larger R would not help.
        double growth = 1 + GROWTH_PER_SECOND * Math.max(MIN_GROWTH_SECONDS, (double) sinceCut / Timing.SECOND);
        boolean grows = heldBack && !onStandby && calm && origin.held() > evenShare / 4;
        if (grows && sinceCut > 2 * Timing.INTERVAL) {
            origin.rate *= Math.min(MAX_GROWTH_FACTOR, growth);
        }
        heldBack = false;
    }
}
