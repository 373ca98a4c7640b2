package slateseam.decision;

import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.ToLongFunction;
import slateseam.decision.Api.Effect;
import slateseam.decision.Api.Group;
import slateseam.decision.Api.RequestArrived;
import slateseam.decision.Api.RequestClass;
import slateseam.decision.Api.Send;

/**
 * The state of a request from its arrival to its final answer. {@link Brain} and {@link RequestTable} change it. All
 * times are in nanoseconds on the module's clock.
 */
final class Job {
    /** The event with which the request arrived. */
    final RequestArrived asked;

    final RequestClass type;
    /** The maximum number of attempts, the first included. */
    final int maxAttempts;

    final long arrivedAt;
    /** The time at which the request is declined if it has no answer by then. */
    final long giveUpAt;
    /** Whether the request is handled after all requests that are within their tenant's share. */
    boolean overShare;
    /** Whether a fetch for the request counts as demand within tenants' shares. */
    final boolean demandWithinShare;

    /** The number of attempts begun so far. */
    int attempts;
    /** Whether an attempt is in progress. */
    boolean attemptInProgress;
    /** Whether the request may wait for room at a cache server; once allowed, it stays so. */
    boolean mayAwaitRoom;
    /** Whether the request has been counted as demand for the origin, which happens once. */
    boolean countedAsDemand;

    /** Whether an ended attempt may have taken effect at a server. */
    boolean mayHaveRun;
    /** Whether the request has been sent completely to a server at least once. */
    boolean reachedServer;
    /**
     * The time of the next check. The first check declines a request that has reached no server; the last is at
     * {@link #giveUpAt}.
     */
    long dueAt;

    /** Whether the request has its final answer, or needs none any more. */
    boolean done;
    /** The time at which a delayed request is routed again. */
    long resumeAt;
    /** Requests that wait for this request's fetch of the same key; null if this request leads no fetch. */
    List<Job> followers;

    Job(RequestArrived asked, RequestClass type, int maxAttempts, long arrivedAt, long giveUpAt, ShareUse share) {
        this.asked = asked;
        this.type = type;
        this.maxAttempts = maxAttempts;
        this.arrivedAt = arrivedAt;
        this.giveUpAt = giveUpAt;
        this.overShare = share == ShareUse.BEYOND;
        this.demandWithinShare = share == ShareUse.WITHIN;
    }

    /** Returns whether the attempt of this number, counted from 0, is the one in progress. */
    boolean awaitsAttempt(int attempt) {
        return attemptInProgress && attempt == attempts - 1;
    }

    /** Returns whether so many further attempts are permitted. */
    boolean hasAttemptsLeft(int times) {
        return attempts + times <= maxAttempts;
    }

    /** Returns whether the request may be sent again although an earlier attempt may have taken effect. */
    boolean repeatable(long now) {
        return repeatsAreHarmless() && (type.effect() == Effect.PURE || now - arrivedAt < type.windowNanos());
    }

    /**
     * Returns the time by which an attempt that begins now must have been sent completely. A repeat of a keyed write is
     * bound to the window in which servers drop repeats; a first attempt may be sent at any time.
     */
    long sendDeadline() {
        boolean bound = mayHaveRun && type.effect() == Effect.TOKEN;
        return bound ? arrivedAt + type.windowNanos() : Send.ANY_TIME;
    }

    /** Returns whether a repeat has no effect: the request is safe, or every member drops repeats of it for a while. */
    boolean repeatsAreHarmless() {
        return type.effect() == Effect.PURE || type.effect() == Effect.TOKEN && type.group() == Group.ALL;
    }

    /** Returns the ascending order of the given value; equal requests are ordered by their number. */
    static Comparator<Job> order(ToLongFunction<Job> by) {
        return Comparator.comparingLong(by).thenComparingLong(j -> j.asked.request());
    }

    /** Returns an empty queue with the order of {@link #order}. */
    static PriorityQueue<Job> queue(ToLongFunction<Job> by) {
        return new PriorityQueue<>(order(by));
    }
}
