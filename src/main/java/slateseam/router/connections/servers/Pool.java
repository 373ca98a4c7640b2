package slateseam.router.connections.servers;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/** The connections to one server, and the uses that wait for one. */
public final class Pool {
    /**
     * The minimum time in nanoseconds that must be left before the deadline of a use: with less, its bytes would
     * only cross the final answer of the request.
     */
    public static final long MIN_REMAINING_NANOS = 5_000_000L;
    /** The maximum number of uses on one connection, which limits how many are lost when it breaks or is closed. */
    static final int MAX_USES_PER_CONNECTION = 4;
    /**
     * The idle time-out in nanoseconds of a connection that is not the last one: by then it has cost about as much
     * as a handshake.
     */
    static final long SPARE_IDLE_TIMEOUT_NANOS = 10_000_000_000L;
    /**
     * The minimum time in nanoseconds after which an outstanding use counts as stuck, so that no use is written
     * behind it; it is stuck after 4 usual answer times if that is longer.
     */
    private static final long MIN_STUCK_NANOS = 50_000_000L;

    private static final int STUCK_ANSWER_TIMES = 4;
    /**
     * A use that was assigned within this many nanoseconds after its connection was established has borne the cost
     * of the handshake.
     */
    private static final long IMMEDIATE_USE_NANOS = 1_000_000L;
    /**
     * The fraction of the cost of a connection that the waiting time of a use is compared with: a connection serves
     * some tens of uses.
     */
    private static final double WAIT_COST_FRACTION = 0.25;
    /**
     * The time in nanoseconds without an outstanding use after which a connection carries another use whose answer is
     * not verified: a reply that the server sends late and unrequested shows while nothing is outstanding.
     */
    static final long REST_NANOS = 100_000_000L;

    /** The fraction of the answer time that a use is assumed to lose when it is written behind another. */
    private static final double SHARING_DELAY_FRACTION = 0.25;

    final ServerConnections all;
    final LatencyEstimates learned;
    final FaultMemory noise = new FaultMemory();
    /** Connections that broke while uses were outstanding. */
    final FaultMemory breaks = new FaultMemory();

    final OpeningPolicy opening;
    final List<Link> links = new ArrayList<>();
    private final boolean shares;
    private final boolean fences;
    private final Deque<Use> waiting = new ArrayDeque<>();
    private boolean ready = true;
    /** The time for which a call of {@link #wake} is scheduled; 0 if there is none. */
    private long wakeAt;

    Pool(ServerConnections all, boolean shares, boolean fences) {
        this.all = all;
        this.learned = new LatencyEstimates(all.learned);
        this.shares = shares;
        this.fences = fences;
        this.opening = new OpeningPolicy(canShare());
    }

    int waiting() {
        return waiting.size();
    }

    void ask(long now, Use use) {
        use.state = Use.State.WAITING;
        use.since = now;
        waiting.add(use);
        serve(now);
    }

    /** Assigns connections to waiting uses, and opens more connections where they are worth their cost. */
    void serve(long now) {
        closeUnverifiable(now);
        assignWaiting(now, false);
        if (openMore(now) > 0) {
            assignWaiting(now, true);
        }
        wakeLater(now);
    }

    /**
     * Assigns connections to the waiting uses.
     *
     * @param withoutRest whether a connection whose rest is not over may carry a use, whose answer is then verified
     */
    private void assignWaiting(long now, boolean withoutRest) {
        for (Iterator<Use> i = waiting.iterator(); i.hasNext(); ) {
            Use use = i.next();
            Order.Why why =
                    !ready ? Order.Why.SERVER_GONE : use.endsAt - now < MIN_REMAINING_NANOS ? Order.Why.LATE : null;
            Link link = why == null ? choose(now, use, withoutRest || canShare()) : null;
            if (why != null) {
                i.remove();
                end(use, why);
            } else if (link != null) {
                i.remove();
                assign(now, link, use);
            } else if (use.shares) {
                break; // a use that can share accepts any connection, so the later uses cannot get one either
            }
        }
    }

    /**
     * Returns the connection for a use: the most recently used one that has rested, so that the others become idle;
     * otherwise the one that has rested longest, where its answer can be verified; otherwise one to share; otherwise
     * one whose handshake may be unfinished. Returns null if there is none.
     */
    private Link choose(long now, Use use, boolean withoutRest) {
        Link available = null;
        Link resting = null;
        Link shared = null;
        Link handshaking = null;
        for (Link link : links) {
            if (link.isFree()) {
                if (link.isUnanswered() && now - link.freeSince < learned.cost()) {
                    handshaking = link;
                } else if (link.isUnanswered() || needsNoRest() || hasRested(now, link)) {
                    available = isBetter(now, link, available) ? link : available;
                } else {
                    resting = resting == null || link.freeSince < resting.freeSince ? link : resting;
                }
            } else if (use.shares && mayShare(now, link) && (shared == null || link.uses.size() < shared.uses.size())) {
                shared = link;
            }
        }
        if (available != null) {
            return available;
        }
        return withoutRest && fences && resting != null ? resting : shared != null ? shared : handshaking;
    }

    /** While the server is suspect, the connection that has rested longest is the least likely to carry a late reply. */
    private boolean isBetter(long now, Link link, Link than) {
        return than == null || (isSuspect(now) ? link.freeSince < than.freeSince : link.freeSince > than.freeSince);
    }

    private boolean hasRested(long now, Link link) {
        return now - link.freeSince >= REST_NANOS;
    }

    /** Returns whether each answer is verified. */
    private boolean verifiesAll(long now) {
        return needsNoRest() || fences && isSuspect(now);
    }

    /** Returns whether fences cost nothing; they then consist of several commands and need no rest besides. */
    private boolean needsNoRest() {
        return fences && all.bounds.freeFences();
    }

    /** Closes free connections that have carried a use where a late reply could not be told from an answer. */
    private void closeUnverifiable(long now) {
        if (fences || !isSuspect(now)) {
            return;
        }
        for (Link link : List.copyOf(links)) {
            if (link.isFree() && !link.isUnanswered()) {
                lose(now, link, Closing.UNVERIFIABLE, true);
            }
        }
    }

    /** Returns whether the bytes received as the answer to the first outstanding use are taken for it. */
    Trust trust(long now, Link link) {
        if (fences) {
            link.fenced = link.verifies || verifiesAll(now);
            return link.fenced ? Trust.VERIFY : Trust.BELIEVE;
        }
        return isSuspect(now) && !link.isUnanswered() ? Trust.REJECT : Trust.BELIEVE;
    }

    private boolean mayShare(long now, Link link) {
        return link.isShareable(maxUsesPerConnection(now)) && !isStuck(now, link);
    }

    /** Returns whether uses can share a connection, so that opening another can wait until it is worth its cost. */
    private boolean canShare() {
        return all.bounds.streams() > 1;
    }

    private int maxUsesPerConnection(long now) {
        boolean holds = !isSuspect(now) && !breaks.isSuspect(now) && !all.breaks.isSuspect(now);
        return shares && holds ? Math.min(MAX_USES_PER_CONNECTION, all.bounds.streams()) : 1;
    }

    private boolean isSuspect(long now) {
        return noise.isSuspect(now) || all.noise.isSuspect(now);
    }

    private long restNanos() {
        return needsNoRest() ? 0 : REST_NANOS;
    }

    private boolean isStuck(long now, Link link) {
        return now - link.firstSince > stuckNanos(link);
    }

    private long stuckNanos(Link link) {
        return Math.max(MIN_STUCK_NANOS, STUCK_ANSWER_TIMES * usualNanos(link));
    }

    private long usualNanos(Link link) {
        return (long) (learned.answer() + (link.isUnanswered() ? learned.cost() : 0));
    }

    private void assign(long now, Link link, Use use) {
        use.behind = !link.uses.isEmpty();
        if (use.behind) {
            opening.waited(now, SHARING_DELAY_FRACTION * learned.answer());
        } else if (!link.isUnanswered() && now > use.since) {
            opening.waited(now, now - use.since);
        }
        if (use.behind) {
            link.verifies = true;
        } else {
            link.verifies = !link.isUnanswered() && !hasRested(now, link);
            link.firstSince = now;
        }
        use.state = Use.State.CARRIED;
        use.link = link;
        use.since = now;
        link.uses.add(use);
        all.given(link, use);
    }

    /** Opens connections for the waiting uses and returns for how many of them it could not. */
    private int openMore(long now) {
        int coming = 0; // loops instead of streams, as this runs several times for each request
        for (Link link : links) {
            coming += link.state == Link.State.COMING_UP ? 1 : 0;
        }
        int unplanned = waiting.size() - coming * maxUsesPerConnection(now);
        boolean spare =
                canShare() && unplanned <= 0 && links.stream().noneMatch(link -> link.isFree() || link.isUnanswered());
        if (spare && mayOpen(now) && opening.isWorthOpening(now, WAIT_COST_FRACTION * learned.cost())) {
            open(now);
        }
        for (; unplanned > 0 && mayOpen(now); unplanned -= maxUsesPerConnection(now)) {
            double wait = expectedWait(now, unplanned);
            if (canShare() && wait <= WAIT_COST_FRACTION * learned.cost()) {
                return 0;
            }
            if (!open(now)) {
                break;
            }
        }
        return unplanned;
    }

    private boolean mayOpen(long now) {
        int unanswered = 0;
        for (Link link : links) {
            unanswered += link.isUnanswered() ? 1 : 0;
        }
        return ready
                && links.size() < opening.connectionLimit(now)
                && unanswered < opening.unansweredLimit()
                && all.mayOpen(this);
    }

    /**
     * Returns for how many nanoseconds the use at the given place in the queue has to wait for a connection that is
     * busy or pauses.
     */
    private double expectedWait(long now, int place) {
        double next = Double.MAX_VALUE;
        int busy = 0;
        for (Link link : links) {
            if (link.isOpen() && !isStuck(now, link) && !(link.isFree() && link.isUnanswered())) {
                busy++;
                long left = link.isFree() ? link.freeSince + restNanos() : link.firstSince + usualNanos(link);
                next = Math.min(next, Math.max(0, left - now));
            }
        }
        return busy == 0 ? next : next + (place - 1) * learned.answer() / busy;
    }

    private boolean open(long now) {
        boolean canVerify = fences && links.stream().anyMatch(Link::isFree);
        if (canVerify && all.isFull()) {
            return false; // a connection that has not rested is cheaper than one in place of another
        }
        if (!all.makeRoom(now)) {
            if (links.isEmpty()) {
                endAll(Order.Why.NO_ROOM);
            }
            return false;
        }
        Link link = new Link(this, now);
        links.add(link);
        all.opened(link);
        return true;
    }

    /** Schedules a call of {@link #wake} for the next change that depends on time alone. */
    private void wakeLater(long now) {
        long next = Long.MAX_VALUE;
        for (Link link : links) {
            if (link.isFree()) {
                next = Math.min(next, link.freeSince + keepNanos());
                next = waiting.isEmpty() ? next : Math.min(next, link.freeSince + restNanos());
            } else if ((!waiting.isEmpty() || link.isAbandoned()) && link.isOpen() && !isStuck(now, link)) {
                next = Math.min(next, link.firstSince + stuckNanos(link) + 1);
            }
        }
        if (next < Long.MAX_VALUE && (wakeAt == 0 || next < wakeAt)) {
            wakeAt = Math.max(next, now + 1);
            all.order(new Order.Wake(this, wakeAt));
        }
    }

    private long keepNanos() {
        return links.size() > 1 ? Math.min(SPARE_IDLE_TIMEOUT_NANOS, all.keepNanos) : all.keepNanos;
    }

    void wake(long now) {
        wakeAt = now >= wakeAt ? 0 : wakeAt;
        for (Link link : List.copyOf(links)) {
            if (link.isFree() && now - link.freeSince >= keepNanos()) {
                lose(now, link, Closing.IDLE, true);
            }
            closeAbandoned(now, link);
        }
        serve(now);
    }

    void up(long now, Link link) {
        link.state = Link.State.OPEN;
        link.upAt = now;
        link.freeSince = now;
        serve(now);
    }

    /** Handles a connection that was not established. The waiting uses fail only if no connection is left. */
    void failed(long now, Link link) {
        lose(now, link, Closing.NOT_UP, false);
        opening.refused(now, (int) links.stream().filter(Link::isOpen).count());
        if (links.isEmpty()) {
            endAll(Order.Why.NOT_UP);
        }
        serve(now);
    }

    /** Handles the complete answer to the first outstanding use on a connection. */
    void answered(long now, Link link, boolean reusable, boolean more) {
        Use use = link.uses.remove();
        learn(now, link, use);
        use.state = Use.State.OVER;
        use.link = null;
        link.answers++;
        link.firstSince = now;
        link.freeSince = now;
        link.fenced = false;
        if (more && link.uses.isEmpty()) {
            recordFault(now);
            lose(now, link, Closing.NOISE, true);
        } else if (!reusable || !ready && link.uses.isEmpty()) {
            lose(now, link, reusable ? Closing.SERVER_GONE : Closing.ENDED, true);
        } else {
            closeAbandoned(now, link);
        }
        serve(now);
    }

    private void learn(long now, Link link, Use use) {
        long took = now - use.since;
        if (link.isUnanswered()) {
            if (use.since - link.upAt < IMMEDIATE_USE_NANOS) {
                double usual = learned.cost() + learned.answer();
                learned.firstAnswered(now - link.openedAt);
                opening.firstAnswered(now - link.openedAt, usual);
            }
            all.firstAnswerReceived();
        } else if (!use.behind) {
            learned.answered(took);
        }
    }

    /** Handles bytes that belong to no outstanding use. */
    void noise(long now, Link link) {
        recordFault(now);
        lose(now, link, Closing.NOISE, true);
        serve(now);
    }

    /** Handles bytes that are no answer to the first outstanding use; that use ends. */
    void spoilt(long now, Link link) {
        recordFault(now);
        unfinished(now, link);
    }

    /** Handles an answer to the first outstanding use whose rest did not come; that use ends. */
    void unfinished(long now, Link link) {
        Use use = link.uses.remove();
        use.state = Use.State.OVER;
        use.link = null;
        lose(now, link, Closing.NOISE, true);
        serve(now);
    }

    private void recordFault(long now) {
        noise.recordFault(now);
        all.recordFault(now, this);
    }

    void broken(long now, Link link) {
        if (!link.uses.isEmpty()) {
            // Limits how many uses are lost at once where connections break.
            breaks.recordFault(now);
            all.recordBreak(now, this);
        }
        lose(now, link, link.uses.isEmpty() ? Closing.ENDED : Closing.BROKEN, false);
        serve(now);
    }

    void giveUp(long now, Use use, boolean last) {
        if (use.state == Use.State.WAITING) {
            waiting.remove(use);
            use.state = Use.State.OVER;
        } else if (use.state == Use.State.CARRIED && !use.isBegun()) {
            use.link.uses.remove(use);
            use.state = Use.State.OVER;
            use.link = null;
        } else if (use.state == Use.State.CARRIED) {
            use.state = Use.State.GIVEN_UP;
            use.last = last;
            if (use.isWritten()) {
                closeAbandoned(now, use.link);
            } else {
                lose(now, use.link, Closing.GIVEN_UP, true);
            }
        }
        serve(now);
    }

    /**
     * Closes a connection if all uses outstanding on it are abandoned, unless an answer is still due that became
     * useless only because its request ended: receiving it costs the server less than another handshake.
     */
    private void closeAbandoned(long now, Link link) {
        if (link.isOpen() && link.isAbandoned() && !(link.isLast() && !isStuck(now, link))) {
            lose(now, link, Closing.GIVEN_UP, true);
        }
    }

    void cut(long now, Use use) {
        if (use.state == Use.State.GIVEN_UP) {
            lose(now, use.link, Closing.GIVEN_UP, true);
            serve(now);
        }
    }

    void setReady(long now, boolean isReady) {
        ready = isReady;
        serve(now);
        if (!ready) {
            closeFree(now);
        }
    }

    private void closeFree(long now) {
        for (Link link : List.copyOf(links)) {
            if (link.uses.isEmpty()) {
                lose(now, link, Closing.SERVER_GONE, true);
            }
        }
    }

    /**
     * Closes the idle connections of an overloaded server. One connection is kept, as a new one would cost the
     * server more.
     */
    void spare(long now) {
        List<Link> free = links.stream()
                .filter(Link::isFree)
                .sorted(Comparator.comparingLong(l -> l.freeSince))
                .toList();
        int closed = links.size() > free.size() ? free.size() : free.size() - 1;
        free.stream().limit(Math.max(0, closed)).forEach(link -> lose(now, link, Closing.SERVER_GONE, true));
    }

    void lose(long now, Link link, Closing cause, boolean fromHere) {
        link.state = Link.State.CLOSED;
        links.remove(link);
        if (fromHere) {
            all.order(new Order.Close(link));
        }
        Deque<Use> back = new ArrayDeque<>();
        for (Use use : link.uses) {
            use.link = null;
            if (use.state == Use.State.GIVEN_UP) {
                use.state = Use.State.OVER;
            } else if (use.isBegun()) {
                end(use, fromHere ? Order.Why.DROPPED : Order.Why.CUT);
            } else {
                use.state = Use.State.WAITING;
                back.push(use);
            }
        }
        link.uses.clear();
        back.forEach(waiting::addFirst);
        all.closed(link, cause);
    }

    private void end(Use use, Order.Why why) {
        use.state = Use.State.OVER;
        all.order(new Order.Ended(use, why));
    }

    private void endAll(Order.Why why) {
        waiting.forEach(use -> end(use, why));
        waiting.clear();
    }
}
