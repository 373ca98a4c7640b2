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
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /**
     * The maximum idle time in nanoseconds, whatever the priority: many idle connections belong to user agents that
     * no longer exist.
     */
    private static final long MAX_IDLE_NANOS = 15_000 * NANOS_PER_MILLI;
    /**
     * The minimum idle time in nanoseconds before a close: the next request often follows its answer at once, and
     * the close would cross it.
     */
    private static final long MIN_IDLE_NANOS = 20 * NANOS_PER_MILLI;
    /**
     * The minimum time in nanoseconds for which a new connection may be silent: the first command arrives with the
     * connection, or one network delay between sites later.
     */
    private static final long MIN_SILENT_NANOS = 50 * NANOS_PER_MILLI;
    /**
     * The minimum time in nanoseconds before a connection with an incomplete command is closed because the table is
     * full: the rest of the command normally follows within it.
     */
    private static final long MIN_INCOMPLETE_NANOS = 250 * NANOS_PER_MILLI;
    /**
     * The minimum time in nanoseconds before a closing connection is dropped because the table is full: user agents
     * close their side within one network delay between sites.
     */
    private static final long MIN_ENDING_NANOS = 50 * NANOS_PER_MILLI;
    /**
     * The time in seconds whose expected new connections are kept free: they may arrive before user agents notice
     * which connections were closed.
     */
    private static final double FREE_HEADROOM_SECONDS = 0.05;

    /** The divisor that gives the minimum part of the held connections that is kept free. */
    private static final int MIN_FREE_DIVISOR = 16;
    /** The divisor that gives the maximum part of the held connections that fast arrivals keep free. */
    private static final int MAX_FREE_DIVISOR = 4;
    /** The divisor that gives the part of the table reserved for addresses that hold less than half of the table. */
    private static final int RESERVED_DIVISOR = 8;

    /** The time in nanoseconds for which the reserve is kept after other addresses had connections. */
    private static final long OTHERS_SEEN_NANOS = 10_000 * NANOS_PER_MILLI;

    private int table;
    private int held;
    private final Worth priorities = new Worth();
    private final Rate arrivals = new Rate();
    private final UserAgentFigures figures = new UserAgentFigures();
    /** The connections that can be closed, by group and kind, longest idle first. */
    private final Map<Group, Map<Integer, LinkedHashSet<Kept>>> idleByGroup = new LinkedHashMap<>();

    private final LinkedHashSet<Kept> half = new LinkedHashSet<>();
    private final LinkedHashSet<Kept> ending = new LinkedHashSet<>();
    private final Map<Object, Integer> byAddress = new LinkedHashMap<>();
    /** The time at which connections of more than one address were last open. */
    private long othersSeen = Long.MIN_VALUE / 2;

    private int idleCount;
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
    public void bound(int maxOpen, int maxHeld) {
        table = maxOpen;
        held = Math.max(1, Math.min(maxOpen, maxHeld));
    }

    /** Registers an accepted connection in phase {@link Phase#SILENT} and returns its state. */
    public Kept opened(Object owner, Object address, int listener, long now) {
        Kept connection = new Kept(owner, new Group(address, listener, -1), now);
        byAddress.merge(address, 1, Integer::sum);
        arrivals.count(now);
        figures.openedOne();
        open++;
        join(connection);
        return connection;
    }

    /**
     * Returns whether a further connection of this address must be rejected, because the rest of the table is
     * reserved for other addresses.
     */
    public boolean isCrowding(Object address, long now) {
        boolean shared = byAddress.size() > 1 || now - othersSeen < OTHERS_SEEN_NANOS;
        return shared && all() >= table - table / RESERVED_DIVISOR && byAddress.getOrDefault(address, 0) >= table / 2;
    }

    /** Counts a connection that was rejected because of {@link #isCrowding}. */
    public void turnedAway() {
        figures.endedOne(Cause.CROWD);
    }

    /** Changes the phase of a connection; {@link #ends} and {@link #closed} report its end. */
    public void enters(Kept connection, Phase phase, long now) {
        if (phase == connection.phase || connection.phase == Phase.GONE) {
            return;
        }
        int kind = connection.isIdle() ? used(connection, now) : connection.kind;
        move(connection, phase, kind, now);
    }

    /** Sets the tenant of the last request of a connection. */
    public void asksFor(Kept connection, int tenant) {
        if (tenant != connection.group.tenant()) {
            boolean listed = connection.isIdle();
            if (listed) {
                leave(connection);
            }
            connection.group = connection.group.of(tenant);
            if (listed) {
                join(connection);
            }
        }
    }

    /** Records that the router has closed its sending side of a connection, which is to end now. */
    public void ends(Kept connection, Cause cause, long now) {
        if (connection.phase != Phase.ENDING && connection.phase != Phase.GONE) {
            recordUnused(connection, now);
            figures.endedOne(cause);
            move(connection, Phase.ENDING, connection.kind, now);
        }
    }

    /** Records that a connection is closed; the cause counts unless the phase was {@link Phase#ENDING} already. */
    public void closed(Kept connection, Cause cause, long now) {
        ends(connection, cause, now);
        if (connection.phase != Phase.GONE) {
            move(connection, Phase.GONE, connection.kind, now);
            othersSeen = byAddress.size() > 1 ? now : othersSeen;
            byAddress.computeIfPresent(connection.group.address(), (a, n) -> n == 1 ? null : n - 1);
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
        int free = (int) (arrivals.perSecond(now) * FREE_HEADROOM_SECONDS);
        return held - Math.max(Math.max(1, held / MIN_FREE_DIVISOR), Math.min(held / MAX_FREE_DIVISOR, free));
    }

    /**
     * Returns the connection to close to make room, once the caller has checked that no bytes have arrived on it;
     * null if there is none, or none yet ({@link #lookAgain} returns when to ask again).
     */
    public Kept surplus(long now) {
        return open > mayStay(now) ? lowestPriority(now) : null;
    }

    /**
     * Returns when to look for a connection to close although no event occurs; {@link Long#MAX_VALUE} if that is not
     * needed.
     */
    public long lookAgain(long now) {
        return open > mayStay(now) && idleCount > 0 ? now + MIN_IDLE_NANOS : Long.MAX_VALUE;
    }

    /**
     * Returns a closing connection whose user agent has had time to close it, to be dropped when the table is full;
     * null if there is none.
     */
    public Kept endingForLongest(long now) {
        return olderThan(ending, MIN_ENDING_NANOS, now);
    }

    /**
     * Returns a connection whose command has been incomplete for some time, to be closed when the table is full;
     * null if there is none.
     */
    public Kept halfForLongest(long now) {
        return olderThan(half, MIN_INCOMPLETE_NANOS, now);
    }

    /** Returns for how many nanoseconds a connection may stay without a request, whatever its priority. */
    public long mostIdleNanos() {
        return MAX_IDLE_NANOS;
    }

    /** Returns the number of open connections, without closing ones. */
    public int open() {
        return open;
    }

    /** Returns the number of connections without a request, including silent ones. */
    public int idle() {
        return idleCount;
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

    private Kept lowestPriority(long now) {
        int even = idleCount / Math.max(1, idleByGroup.size());
        int protectedOnes = byAddress.size() > 1 ? mayStay(now) / (2 * byAddress.size()) : 0;
        Kept least = null;
        double lowestPriority = Double.MAX_VALUE;
        for (Map.Entry<Group, Map<Integer, LinkedHashSet<Kept>>> group : idleByGroup.entrySet()) {
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
                double value = priorities.of(kind.getKey()).priority(age);
                boolean sooner = value < lowestPriority || value == lowestPriority && oldest.since < least.since;
                if (sooner && age >= (oldest.phase == Phase.SILENT ? MIN_SILENT_NANOS : MIN_IDLE_NANOS)) {
                    least = oldest;
                    lowestPriority = value;
                }
            }
        }
        return least;
    }

    private void move(Kept connection, Phase phase, int kind, long now) {
        leave(connection);
        if (phase == Phase.ENDING) {
            open--;
        }
        connection.phase = phase;
        connection.kind = kind;
        connection.since = now;
        join(connection);
    }

    private void join(Kept connection) {
        switch (connection.phase) {
            case SILENT, IDLE -> {
                idleCount++;
                idleByGroup
                        .computeIfAbsent(connection.group, g -> new LinkedHashMap<>())
                        .computeIfAbsent(connection.kind, k -> new LinkedHashSet<>())
                        .add(connection);
            }
            case HALF -> half.add(connection);
            case ENDING -> ending.add(connection);
            default -> {}
        }
    }

    private void leave(Kept connection) {
        switch (connection.phase) {
            case SILENT, IDLE -> {
                idleCount--;
                Map<Integer, LinkedHashSet<Kept>> kinds = idleByGroup.get(connection.group);
                LinkedHashSet<Kept> queue = kinds.get(connection.kind);
                queue.remove(connection);
                if (queue.isEmpty()) {
                    kinds.remove(connection.kind);
                }
                if (kinds.isEmpty()) {
                    idleByGroup.remove(connection.group);
                }
            }
            case HALF -> half.remove(connection);
            case ENDING -> ending.remove(connection);
            default -> {}
        }
    }

    /** Records that an idle or silent connection is used, and returns its new kind. */
    private int used(Kept connection, long now) {
        long idle = now - connection.since;
        priorities.of(connection.kind).used(idle);
        if (connection.phase == Phase.SILENT) {
            return Worth.USED_ONCE;
        }
        figures.reusedOne();
        return Worth.after(idle);
    }

    /** Records that an idle or silent connection ends. */
    private void recordUnused(Kept connection, long now) {
        if (connection.isIdle()) {
            priorities.of(connection.kind).closed(now - connection.since);
        }
    }
}
