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

/** The state of a request that is owed its final answer; {@link Brain} alone reads and changes it. */
final class Job {
    final RequestArrived asked;
    final RequestClass type;
    /** How often it may be tried in all. */
    final int most;

    final long arrivedAt;
    final long giveUpAt;
    /** Whether it comes after all work within tenants' shares. */
    boolean overShare;
    /** Whether its demand for the origin counts as demand within shares. */
    final boolean demandWithinShare;

    int attempts;
    boolean open;
    /** Whether it has been let wait for room at a cache. */
    boolean waited;
    /** Whether it has been counted as demand for the origin. */
    boolean countedAsDemand;

    boolean mayHaveRun;
    /** Whether an attempt has come to a member. */
    boolean reached;
    /** When it is looked at: whether anything was done for it yet; at {@link #giveUpAt} at the latest. */
    long dueAt;

    boolean done;
    long wakeAt;
    /** Misses of the same key that wait for this one's fetch; null unless it leads one. */
    List<Job> followers;

    Job(RequestArrived asked, RequestClass type, int most, long arrivedAt, long giveUpAt, ShareUse share) {
        this.asked = asked;
        this.type = type;
        this.most = most;
        this.arrivedAt = arrivedAt;
        this.giveUpAt = giveUpAt;
        this.overShare = share == ShareUse.BEYOND;
        this.demandWithinShare = share == ShareUse.WITHIN;
    }

    /** Whether this is the attempt that is out; they are numbered from 0. */
    boolean awaits(int attempt) {
        return open && attempt == attempts - 1;
    }

    /** Whether it may be tried so many times more. */
    boolean mayTry(int times) {
        return attempts + times <= most;
    }

    /** Whether it may be sent once more though an attempt of it may have run. */
    boolean repeatable(long now) {
        return repeatsAreHarmless() && (type.effect() == Effect.PURE || now - arrivedAt < type.windowNanos());
    }

    /** When an attempt that begins now must have been sent; a first one may be sent at any time. */
    long sentBy() {
        boolean bound = mayHaveRun && type.effect() == Effect.TOKEN;
        return bound ? arrivedAt + type.windowNanos() : Send.ANY_TIME;
    }

    /** Whether running it twice changes nothing, or every member drops the repeat for a while. */
    boolean repeatsAreHarmless() {
        return type.effect() == Effect.PURE || type.effect() == Effect.TOKEN && type.group() == Group.ALL;
    }

    /** This order; where it is the same, by number. */
    static Comparator<Job> order(ToLongFunction<Job> by) {
        return Comparator.comparingLong(by).thenComparingLong(j -> j.asked.request());
    }

    /** A queue in this order. */
    static PriorityQueue<Job> queue(ToLongFunction<Job> by) {
        return new PriorityQueue<>(order(by));
    }
}
