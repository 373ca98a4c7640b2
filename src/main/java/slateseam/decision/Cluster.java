package slateseam.decision;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import slateseam.decision.Api.CacheMode;
import slateseam.decision.Api.ListKind;
import slateseam.decision.Api.Member;
import slateseam.decision.Api.MembersChanged;

/** The member list: who may be sent to, which cache server a key belongs to, and how they fare together. */
final class Cluster {
    /** Of the ready cache servers; if more fail, they share a cause. */
    static final double MOST_EJECTED = 0.5;
    /** Hashes that are tried for a key. */
    private static final int SALTS = 128;

    private static final long SALT_STEP = 0x9e3779b97f4a7c15L;
    final TreeMap<Long, UpstreamServer> servers = new TreeMap<>();
    final FarmHealth health = new FarmHealth();
    private final SlotTable slots = new SlotTable();
    private final DecisionContext context;
    private final TrafficStats traffic;
    private final SlowStart slowStart;
    private UpstreamServer origin;
    private double topRating = 1;
    private int readyCaches;

    Cluster(DecisionContext context, TrafficStats traffic) {
        this.context = context;
        this.traffic = traffic;
        slowStart = new SlowStart(context, traffic);
    }

    /** Where misses are fetched; null where caches fetch themselves, or none is ready. */
    UpstreamServer origin() {
        return origin;
    }

    /** How many cache servers are listed as ready. */
    int readyCaches() {
        return readyCaches;
    }

    /** How many listed cache servers get nothing now: they drain, or are ejected. */
    int avoided() {
        return (int) servers.values().stream().filter(UpstreamServer::isAvoided).count();
    }

    /** Takes a list, or what has changed of it. */
    void changed(MembersChanged event) {
        if (event.kind() != ListKind.DELTA) {
            removeUnlisted(event.members());
        }
        event.members().forEach(this::update);
        boolean aside = context.settings().mode() == CacheMode.ASIDE;
        origin = servers.values().stream()
                .filter(server -> aside && server.isOrigin() && server.ready())
                .findFirst()
                .orElse(null);
        // Guards against a map that grows with every member that was ever replaced.
        servers.values().removeIf(server -> server.member.isGone() && server.outstanding == 0);
        List<UpstreamServer> caches = servers.values().stream()
                .filter(server -> !server.isOrigin() && !server.member.isGone())
                .toList();
        slots.place(caches);
        List<UpstreamServer> ready =
                caches.stream().filter(UpstreamServer::ready).toList();
        readyCaches = ready.size();
        health.ready(ready);
        topRating = caches.stream()
                .mapToDouble(server -> server.ready() ? server.member.rating() : 0)
                .max()
                .orElse(1);
    }

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

    /** The cache server of a key by jump consistent hash, other than {@code not}; null if none is to be used. */
    UpstreamServer home(long key, UpstreamServer not) {
        // A key that meets an empty slot, or a new member not due it yet, stays where it was before.
        for (int salt = 0; salt < SALTS && readyCaches > 0; salt++) {
            long hash = salt == 0 ? key : JumpHash.mix(key + salt * SALT_STEP);
            UpstreamServer server = slots.at(hash);
            if (takes(server, hash, not)) {
                return server;
            }
        }
        // All the hashes may have missed the few that are left of many: then the next one behind the key's own slot.
        int own = slots.slotOf(key);
        for (int step = 0; step < slots.size(); step++) {
            UpstreamServer server = slots.behind(own, step);
            if (takes(server, key, not)) {
                return server;
            }
        }
        return null;
    }

    private boolean takes(UpstreamServer server, long hash, UpstreamServer not) {
        return server != null
                && server != not
                && server.usable()
                && slowStart.admits(server, hash, topRating, readyCaches);
    }

    /** Whether most caches have failed within the time that one would be ejected for. */
    boolean strained() {
        long since = context.now() - UpstreamServer.firstEjection(context);
        return health.failedPart(since) > MOST_EJECTED;
    }

    /** Whether most caches have only begun to answer, or fail together: then none is full for good. */
    boolean unsettled() {
        return strained() || health.provenPart(context.now() - UpstreamServer.HICCUP) < MOST_EJECTED;
    }

    /** What this router's work needs at the usual answer time, were it spread evenly. */
    double fairWindow() {
        double out = traffic.arrivals.perSecond() * traffic.answerTime() / Timing.SECOND;
        return Math.max(1, Math.min(UpstreamServer.START_WINDOW / 2, out / Math.max(1, readyCaches)));
    }
}
