package slateseam.router.connections.useragents;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;

/**
 * Connection admission for user agents. User agents hold a limited number of connections for their requests; when
 * all of them are idle at this router, a request that needs a further connection cannot be sent at all. Some of that
 * number is therefore kept free, more while new connections arrive fast. To free it, the idle connections with the
 * lowest priority are closed: the ones least likely to be used again soon, as learned from connections of the same
 * kind. Where several addresses, listeners or tenants hold idle connections, only groups that hold at least an even
 * share lose connections. Where there are several addresses, an address that holds less than half of its even share
 * of the limit loses none.
 *
 * <p>All times are nanoseconds of one monotonic clock. The cost of each call is at most proportional to the number
 * of connection kinds of all groups; there are no more groups than connections.
 */
public final class UserAgentRoom {
    private static final long MILLI = 1_000_000L;
    /**
     * The maximum idle time in nanoseconds, whatever the priority: many idle connections belong to user agents that
     * no longer exist.
     */
    private static final long MOST_IDLE_NANOS = 15_000 * MILLI;
    /**
     * The minimum idle time in nanoseconds before a close: the next request often follows its answer at once, and
     * the close would cross it.
     */
    private static final long LEAST_IDLE_NANOS = 20 * MILLI;
    /**
     * The minimum time in nanoseconds for which a new connection may be silent: the first command arrives with the
     * connection, or one network delay between sites later.
     */
    private static final long LEAST_SILENT_NANOS = 50 * MILLI;
    /**
     * The minimum time in nanoseconds before a connection with an incomplete command is closed because the table is
     * full: the rest of the command normally follows within it.
     */
    private static final long LEAST_HALF_NANOS = 250 * MILLI;
    /**
     * The minimum time in nanoseconds before a closing connection is dropped because the table is full: user agents
     * close their side within one network delay between sites.
     */
    private static final long LEAST_ENDING_NANOS = 50 * MILLI;
    /**
     * The time in seconds whose expected new connections are kept free: they may arrive before user agents notice
     * which connections were closed.
     */
    private static final double LEFT_FREE_SECONDS = 0.05;

    private static final int LEAST_FREE_PART = 16;
    private static final int MOST_FREE_PART = 4;
    /** The divisor that gives the part of the table reserved for addresses that hold less than half of the table. */
    private static final int SPARED_PART = 8;

    private static final long SEEN_NANOS = 10_000 * MILLI;

    private int table;
    private int held;
    private final Worth worth = new Worth();
    private final Rate coming = new Rate();
    private final UserAgentFigures figures = new UserAgentFigures();
    /** The connections that can be closed, by group and kind, longest idle first. */
    private final Map<Group, Map<Integer, LinkedHashSet<Kept>>> spare = new LinkedHashMap<>();

    private final LinkedHashSet<Kept> half = new LinkedHashSet<>();
    private final LinkedHashSet<Kept> ending = new LinkedHashSet<>();
    private final Map<Object, Integer> byAddress = new LinkedHashMap<>();
    /** The time at which connections of more than one address were last open. */
    private long othersSeen = Long.MIN_VALUE / 2;

    private int spares;
    private int open;

    /**
     * Creates the admission state.
     *
     * @param table the maximum number of open connections, including closing ones
     * @param held the maximum number of connections that user agents hold for their requests, capped at {@code
     *     table}
     */
    public UserAgentRoom(int table, int held) {
        bound(table, held);
    }

    /** Changes the limits; the parameters have the meaning of those of the constructor. */
    public void bound(int mostOpen, int mostHeld) {
        table = mostOpen;
        held = Math.max(1, Math.min(mostOpen, mostHeld));
    }

    /** Registers an accepted connection in phase {@link Phase#SILENT} and returns its state. */
    public Kept opened(Object owner, Object address, int listener, long now) {
        Kept kept = new Kept(owner, new Group(address, listener, -1), now);
        byAddress.merge(address, 1, Integer::sum);
        coming.count(now);
        figures.openedOne();
        open++;
        join(kept);
        return kept;
    }

    /**
     * Returns whether a further connection of this address must be rejected, because the rest of the table is
     * reserved for other addresses.
     */
    public boolean isCrowding(Object address, long now) {
        boolean shared = byAddress.size() > 1 || now - othersSeen < SEEN_NANOS;
        return shared && all() >= table - table / SPARED_PART && byAddress.getOrDefault(address, 0) >= table / 2;
    }

    /** Counts a connection that was rejected because of {@link #isCrowding}. */
    public void turnedAway() {
        figures.endedOne(Cause.CROWD);
    }

    /** Changes the phase of a connection; {@link #ends} and {@link #closed} report its end. */
    public void enters(Kept kept, Phase phase, long now) {
        if (phase == kept.phase || kept.phase == Phase.GONE) {
            return;
        }
        int kind = kept.isSpare() ? used(kept, now) : kept.kind;
        move(kept, phase, kind, now);
    }

    /** Sets the tenant of the last request of a connection. */
    public void asksFor(Kept kept, int tenant) {
        if (tenant != kept.group.tenant()) {
            boolean listed = kept.isSpare();
            if (listed) {
                leave(kept);
            }
            kept.group = kept.group.of(tenant);
            if (listed) {
                join(kept);
            }
        }
    }

    /** Records that the router has closed its sending side of a connection, which is to end now. */
    public void ends(Kept kept, Cause cause, long now) {
        if (kept.phase != Phase.ENDING && kept.phase != Phase.GONE) {
            unused(kept, now);
            figures.endedOne(cause);
            move(kept, Phase.ENDING, kept.kind, now);
        }
    }

    /** Records that a connection is closed; the cause counts unless the phase was {@link Phase#ENDING} already. */
    public void closed(Kept kept, Cause cause, long now) {
        ends(kept, cause, now);
        if (kept.phase != Phase.GONE) {
            move(kept, Phase.GONE, kept.kind, now);
            othersSeen = byAddress.size() > 1 ? now : othersSeen;
            byAddress.computeIfPresent(kept.group.address(), (a, n) -> n == 1 ? null : n - 1);
        }
    }

    /**
     * Counts a connection on which bytes arrived after its sending side was closed between requests; its user agent
     * sends them again.
     */
    public void crossed() {
        figures.crossedOne();
    }

    /** Returns whether the connection table is full. */
    public boolean isFull() {
        return all() >= table;
    }

    /** Returns how many connections may stay open now without keeping user agents from opening further ones. */
    public int mayStay(long now) {
        int free = (int) (coming.perSecond(now) * LEFT_FREE_SECONDS);
        return held - Math.max(Math.max(1, held / LEAST_FREE_PART), Math.min(held / MOST_FREE_PART, free));
    }

    /**
     * Returns the connection to close to make room, once the caller has checked that no bytes have arrived on it;
     * null if there is none, or none yet ({@link #lookAgain} returns when to ask again).
     */
    public Kept surplus(long now) {
        return open > mayStay(now) ? leastWorth(now) : null;
    }

    /**
     * Returns when to look for a connection to close although no event occurs; {@link Long#MAX_VALUE} if that is not
     * needed.
     */
    public long lookAgain(long now) {
        return open > mayStay(now) && spares > 0 ? now + LEAST_IDLE_NANOS : Long.MAX_VALUE;
    }

    /**
     * Returns a closing connection whose user agent has had time to close it, to be dropped when the table is full;
     * null if there is none.
     */
    public Kept endingForLongest(long now) {
        return olderThan(ending, LEAST_ENDING_NANOS, now);
    }

    /**
     * Returns a connection whose command has been incomplete for some time, to be closed when the table is full;
     * null if there is none.
     */
    public Kept halfForLongest(long now) {
        return olderThan(half, LEAST_HALF_NANOS, now);
    }

    /** Returns for how many nanoseconds a connection may stay without a request, whatever its priority. */
    public long mostIdleNanos() {
        return MOST_IDLE_NANOS;
    }

    /** Returns the number of open connections, without closing ones. */
    public int open() {
        return open;
    }

    /** Returns the number of connections without a request, including silent ones. */
    public int idle() {
        return spares;
    }

    /** Returns the number of closing connections. */
    public int ending() {
        return ending.size();
    }

    /** Returns the statistics since the start of the process. */
    public UserAgentFigures figures() {
        return figures;
    }

    private int all() {
        return open + ending.size();
    }

    private static Kept olderThan(LinkedHashSet<Kept> queue, long least, long now) {
        Kept first = queue.isEmpty() ? null : queue.iterator().next();
        return first != null && now - first.since >= least ? first : null;
    }

    private Kept leastWorth(long now) {
        int even = spares / Math.max(1, spare.size());
        int protectedOnes = byAddress.size() > 1 ? mayStay(now) / (2 * byAddress.size()) : 0;
        Kept least = null;
        double leastWorth = Double.MAX_VALUE;
        for (Map.Entry<Group, Map<Integer, LinkedHashSet<Kept>>> group : spare.entrySet()) {
            Map<Integer, LinkedHashSet<Kept>> kinds = group.getValue();
            int ofGroup = 0;
            for (LinkedHashSet<Kept> queue : kinds.values()) {
                ofGroup += queue.size();
            }
            if (ofGroup < even || byAddress.get(group.getKey().address()) <= protectedOnes) {
                continue;
            }
            for (Map.Entry<Integer, LinkedHashSet<Kept>> kind : kinds.entrySet()) {
                Kept oldest = kind.getValue().iterator().next();
                long age = now - oldest.since;
                double value = worth.of(kind.getKey()).worth(age);
                boolean sooner = value < leastWorth || value == leastWorth && oldest.since < least.since;
                if (sooner && age >= (oldest.phase == Phase.SILENT ? LEAST_SILENT_NANOS : LEAST_IDLE_NANOS)) {
                    least = oldest;
                    leastWorth = value;
                }
            }
        }
        return least;
    }

    private void move(Kept kept, Phase phase, int kind, long now) {
        leave(kept);
        if (phase == Phase.ENDING) {
            open--;
        }
        kept.phase = phase;
        kept.kind = kind;
        kept.since = now;
        join(kept);
    }

    private void join(Kept kept) {
        switch (kept.phase) {
            case SILENT, IDLE -> {
                spares++;
                spare.computeIfAbsent(kept.group, g -> new LinkedHashMap<>())
                        .computeIfAbsent(kept.kind, k -> new LinkedHashSet<>())
                        .add(kept);
            }
            case HALF -> half.add(kept);
            case ENDING -> ending.add(kept);
            default -> {}
        }
    }

    private void leave(Kept kept) {
        switch (kept.phase) {
            case SILENT, IDLE -> {
                spares--;
                Map<Integer, LinkedHashSet<Kept>> kinds = spare.get(kept.group);
                LinkedHashSet<Kept> queue = kinds.get(kept.kind);
                queue.remove(kept);
                if (queue.isEmpty()) {
                    kinds.remove(kept.kind);
                }
                if (kinds.isEmpty()) {
                    spare.remove(kept.group);
                }
            }
            case HALF -> half.remove(kept);
            case ENDING -> ending.remove(kept);
            default -> {}
        }
    }

    /** Records that an idle or silent connection is used, and returns its new kind. */
    private int used(Kept kept, long now) {
        long idle = now - kept.since;
        worth.of(kept.kind).used(idle);
        if (kept.phase == Phase.SILENT) {
            return Worth.ONCE;
        }
        figures.reusedOne();
        return Worth.after(idle);
    }

    /** Records that an idle or silent connection ends. */
    private void unused(Kept kept, long now) {
        if (kept.isSpare()) {
            worth.of(kept.kind).closed(now - kept.since);
        }
    }
}
