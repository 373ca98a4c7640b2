package slateseam.router.connections.useragents;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;

/**
 * The room for connections of user agents. User agents hold so many connections at most for their requests; when all of
 * them stand idle at this router, a request that needs a further one cannot come at all. So some of that number is left
 * free, more while new connections come fast, and what goes for it are the idle connections that are worth least: those
 * that are least likely to be used again soon, as far as those like them have shown. Where several places, listeners or
 * tenants hold idle connections, only those go that hold an even part of them or more; and of several addresses one that
 * holds less than half of its even part of the room gives nothing up.
 *
 * <p>All times are nanoseconds of one clock that does not go backwards. Each call costs at most a look at the kinds of
 * connections of each group that holds any; there are no more groups than connections.
 */
public final class UserAgentRoom {
    private static final long MILLI = 1_000_000L;
    /** No idle connection is worth more than this: many are left behind by user agents that are gone. */
    private static final long MOST_IDLE_NANOS = 15_000 * MILLI;
    /** The next request often follows its answer at once; a close would cross it. */
    private static final long LEAST_IDLE_NANOS = 20 * MILLI;
    /** The first command comes with the connection, or a way between sites later. */
    private static final long LEAST_SILENT_NANOS = 50 * MILLI;
    /** For want of room in the table only: the rest of a command follows its beginning. */
    private static final long LEAST_HALF_NANOS = 250 * MILLI;
    /** For want of room in the table only: user agents end their side within a way between sites. */
    private static final long LEAST_ENDING_NANOS = 50 * MILLI;
    /** New connections that may come before user agents have seen what was ended. */
    private static final double LEFT_FREE_SECONDS = 0.05;

    private static final int LEAST_FREE_PART = 16;
    private static final int MOST_FREE_PART = 4;
    /** The last part of the table is for places that hold less than half of it. */
    private static final int SPARED_PART = 8;

    private static final long SEEN_NANOS = 10_000 * MILLI;

    private int table;
    private int held;
    private final Worth worth = new Worth();
    private final Rate coming = new Rate();
    private final UserAgentFigures figures = new UserAgentFigures();
    /** Those that can go, the one that has been so for longest first, by group and kind. */
    private final Map<Group, Map<Integer, LinkedHashSet<Kept>>> spare = new LinkedHashMap<>();

    private final LinkedHashSet<Kept> half = new LinkedHashSet<>();
    private final LinkedHashSet<Kept> ending = new LinkedHashSet<>();
    private final Map<Object, Integer> byAddress = new LinkedHashMap<>();
    /** When connections of more than one address were last open. */
    private long othersSeen = Long.MIN_VALUE / 2;

    private int spares;
    private int open;

    /**
     * Creates the room.
     *
     * @param table the most connections that may be open, ending ones included
     * @param held the most connections that user agents hold for their requests; where it is larger, {@code table} counts
     */
    public UserAgentRoom(int table, int held) {
        bound(table, held);
    }

    /** The same bounds as at its creation, from now on. */
    public void bound(int mostOpen, int mostHeld) {
        table = mostOpen;
        held = Math.max(1, Math.min(mostOpen, mostHeld));
    }

    /** Takes a connection in; its phase is {@link Phase#SILENT}. */
    public Kept opened(Object owner, Object address, int listener, long now) {
        Kept kept = new Kept(owner, new Group(address, listener, -1), now);
        byAddress.merge(address, 1, Integer::sum);
        coming.count(now);
        figures.openedOne();
        open++;
        join(kept);
        return kept;
    }

    /** A connection of this address would be one too many for it: the rest of the table is left to others. */
    public boolean isCrowding(Object address, long now) {
        boolean shared = byAddress.size() > 1 || now - othersSeen < SEEN_NANOS;
        return shared && all() >= table - table / SPARED_PART && byAddress.getOrDefault(address, 0) >= table / 2;
    }

    /** A connection that was not taken in, for {@link #isCrowding}. */
    public void turnedAway() {
        figures.endedOne(Cause.CROWD);
    }

    /** A connection waits for something else from now on; {@link #ends} and {@link #closed} tell of its end. */
    public void enters(Kept kept, Phase phase, long now) {
        if (phase == kept.phase || kept.phase == Phase.GONE) {
            return;
        }
        int kind = kept.isSpare() ? used(kept, now) : kept.kind;
        move(kept, phase, kind, now);
    }

    /** The tenant of its last request. */
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

    /** The router has ended its sending on a connection, which is to end now. */
    public void ends(Kept kept, Cause cause, long now) {
        if (kept.phase != Phase.ENDING && kept.phase != Phase.GONE) {
            unused(kept, now);
            figures.endedOne(cause);
            move(kept, Phase.ENDING, kept.kind, now);
        }
    }

    /** A connection is closed; the cause counts unless it was {@link Phase#ENDING} already. */
    public void closed(Kept kept, Cause cause, long now) {
        ends(kept, cause, now);
        if (kept.phase != Phase.GONE) {
            move(kept, Phase.GONE, kept.kind, now);
            othersSeen = byAddress.size() > 1 ? now : othersSeen;
            byAddress.computeIfPresent(kept.group.address(), (a, n) -> n == 1 ? null : n - 1);
        }
    }

    /** Bytes came on a connection whose sending was ended between requests: its user agent sends them once more. */
    public void crossed() {
        figures.crossedOne();
    }

    /** Whether all of the table is taken. */
    public boolean isFull() {
        return all() >= table;
    }

    /** How many may stay open now without keeping user agents from opening further ones. */
    public int mayStay(long now) {
        int free = (int) (coming.perSecond(now) * LEFT_FREE_SECONDS);
        return held - Math.max(Math.max(1, held / LEAST_FREE_PART), Math.min(held / MOST_FREE_PART, free));
    }

    /**
     * The connection that is to go for want of room, after a last look whether anything has come on it; null if none is,
     * or none yet ({@link #lookAgain} tells when).
     */
    public Kept surplus(long now) {
        return open > mayStay(now) ? leastWorth(now) : null;
    }

    /** When there may be a surplus though nothing happens until then; {@link Long#MAX_VALUE} if not. */
    public long lookAgain(long now) {
        return open > mayStay(now) && spares > 0 ? now + LEAST_IDLE_NANOS : Long.MAX_VALUE;
    }

    /** For want of room in the table: an ending connection whose user agent has had time to end it; null if there is none. */
    public Kept endingForLongest(long now) {
        return olderThan(ending, LEAST_ENDING_NANOS, now);
    }

    /** For want of room in the table: one that stopped within a command some time ago; null if there is none. */
    public Kept halfForLongest(long now) {
        return olderThan(half, LEAST_HALF_NANOS, now);
    }

    /** How long a connection may stay as it is without a request: a bound, whatever it is worth. */
    public long mostIdleNanos() {
        return MOST_IDLE_NANOS;
    }

    /** Connections that are not being ended. */
    public int open() {
        return open;
    }

    /** Connections without a request, silent ones included. */
    public int idle() {
        return spares;
    }

    /** Connections that are being ended. */
    public int ending() {
        return ending.size();
    }

    /** What connections came to since the start. */
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

    /** A spare connection is used; returns the kind that it is of from now on. */
    private int used(Kept kept, long now) {
        long idle = now - kept.since;
        worth.of(kept.kind).used(idle);
        if (kept.phase == Phase.SILENT) {
            return Worth.ONCE;
        }
        figures.reusedOne();
        return Worth.after(idle);
    }

    /** A spare connection ends. */
    private void unused(Kept kept, long now) {
        if (kept.isSpare()) {
            worth.of(kept.kind).closed(now - kept.since);
        }
    }
}
