package slateseam.decision;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import slateseam.decision.Api.CacheMode;
import slateseam.decision.Api.ListKind;
import slateseam.decision.Api.Member;
import slateseam.decision.Api.MembersChanged;

/**
 * Maintains the servers of the member list, maps keys to cache servers and tells whether most cache servers fail at
 * the same time.
 */
final class Cluster {
    /**
     * The largest fraction of the ready cache servers that may be ejected; if more of them fail, they share a cause.
     */
    static final double MAX_EJECTED_FRACTION = 0.5;
    /** The number of hashes of a key that are tried before the slots are searched in sequence. */
    private static final int MAX_HASHES = 128;

    /** The odd integer nearest to 2^64 divided by the golden ratio; multiples of it give well-spread salts. */
    private static final long SALT_STEP = 0x9e3779b97f4a7c15L;
    /** The servers by member id: all that are listed, and unlisted ones with outstanding attempts. */
    final TreeMap<Long, UpstreamServer> servers = new TreeMap<>();

    /** The combined health of the ready cache servers. */
    final FarmHealth health = new FarmHealth();

    private final SlotTable slots = new SlotTable();
    private final DecisionContext context;
    private final TrafficStats traffic;
    private final SlowStart slowStart;
    private UpstreamServer origin;
    private double maxRating = 1;
    private int readyCaches;

    Cluster(DecisionContext context, TrafficStats traffic) {
        this.context = context;
        this.traffic = traffic;
        slowStart = new SlowStart(context, traffic);
    }

    /**
     * Returns the origin from which the router fetches misses; null if caches fetch by themselves or no origin is
     * ready.
     */
    UpstreamServer origin() {
        return origin;
    }

    /** Returns the number of cache servers that are listed as ready. */
    int readyCaches() {
        return readyCaches;
    }

    /** Returns the number of listed cache servers that get no requests now because they are draining or ejected. */
    int avoided() {
        return (int) servers.values().stream().filter(UpstreamServer::isAvoided).count();
    }

    /** Applies a full member list or a change to the list, and places the cache servers again. */
    void changed(MembersChanged event) {
        if (event.kind() != ListKind.DELTA) {
            removeUnlisted(event.members());
        }
        event.members().forEach(this::update);
        boolean aside = context.settings().mode() == CacheMode.ASIDE;
        origin = servers.values().stream()
                .filter(server -> aside && server.isOrigin() && server.isReady())
                .findFirst()
                .orElse(null);
        // Without this the map would grow with each member that is replaced.
        servers.values().removeIf(server -> server.member.isGone() && server.outstanding == 0);
        List<UpstreamServer> caches = servers.values().stream()
                .filter(server -> !server.isOrigin() && !server.member.isGone())
                .toList();
        slots.assign(caches);
        List<UpstreamServer> ready =
                caches.stream().filter(UpstreamServer::isReady).toList();
        readyCaches = ready.size();
        health.setReady(ready);
        maxRating = caches.stream()
                .mapToDouble(server -> server.isReady() ? server.member.rating() : 0)
                .max()
                .orElse(1);
    }

    /** Marks the servers that are missing from a full list as gone. */
    private void removeUnlisted(List<Member> members) {
        Set<Long> listed = new HashSet<>();
        members.forEach(member -> listed.add(member.id()));
        for (UpstreamServer server : servers.values()) {
            if (!listed.contains(server.id())) {
                server.member = server.member.gone();
            }
        }
    }

    private void update(Member member) {
        if (member.isGone() && !servers.containsKey(member.id())) {
            return;
        }
        UpstreamServer server = servers.computeIfAbsent(member.id(), id -> new UpstreamServer(member, context));
        if (member.upSinceNanos() != server.member.upSinceNanos()) {
            server.restarted();
        }
        server.member = member;
    }

    /**
     * Returns the cache server that a key is placed on by jump consistent hashing.
     *
     * @param excluded a server that must not be returned; null for no exception
     * @return the cache server; null if no cache server can take the key
     */
    UpstreamServer home(long key, UpstreamServer excluded) {
        // A key whose hash gives an empty slot, or a starting server that does not take the key yet, goes on to its
        // next hash. The key thus stays on the server that it had before the slot was filled.
        for (int salt = 0; salt < MAX_HASHES && readyCaches > 0; salt++) {
            long hash = salt == 0 ? key : JumpHash.mix(key + salt * SALT_STEP);
            UpstreamServer server = slots.serverFor(hash);
            if (accepts(server, hash, excluded)) {
                return server;
            }
        }
        // If few of many servers are left, all hashes may miss them. Then the next usable server behind the key's own
        // slot takes the key.
        int firstSlot = slots.slotOf(key);
        for (int step = 0; step < slots.size(); step++) {
            UpstreamServer server = slots.serverAfter(firstSlot, step);
            if (accepts(server, key, excluded)) {
                return server;
            }
        }
        return null;
    }

    /** Whether a slot holds a usable server, other than {@code excluded}, that takes a key with this hash. */
    private boolean accepts(UpstreamServer server, long hash, UpstreamServer excluded) {
        return server != null
                && server != excluded
                && server.isUsable()
                && slowStart.admits(server, hash, maxRating, readyCaches);
    }

    /** Whether most caches have failed recently: within a time as long as a first ejection. */
    boolean mostCachesFail() {
        long since = context.now() - UpstreamServer.firstEjectionNanos(context);
        return health.failedFraction(since) > MAX_EJECTED_FRACTION;
    }

    /**
     * Whether most caches have not yet answered for some time, or fail together. A lack of room is then temporary, so
     * that requests may wait for it.
     */
    boolean unsettled() {
        return mostCachesFail()
                || health.answeredFraction(context.now() - UpstreamServer.MAX_PAUSE_NANOS) < MAX_EJECTED_FRACTION;
    }

    /**
     * Returns the window that this router needs at each cache at the usual answer time if its requests are spread
     * evenly over the ready caches; from 1 to half of the window that an unknown server starts with.
     */
    double fairWindow() {
        double concurrency = traffic.arrivals.perSecond() * traffic.answerTime() / Timing.SECOND;
        return Math.max(1, Math.min(UpstreamServer.INITIAL_WINDOW / 2, concurrency / Math.max(1, readyCaches)));
    }
}
