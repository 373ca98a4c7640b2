package slateseam.router.tier;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.json.JSONArray;
import org.json.JSONObject;
import slateseam.decision.Api.Event;
import slateseam.decision.Api.Sight;
import slateseam.decision.Api.TierSeen;
import slateseam.decision.Api.Trust;
import slateseam.router.config.Features;
import slateseam.router.config.NodeConfig;
import slateseam.router.figures.Counts;
import slateseam.router.net.Clock;
import slateseam.router.net.Loop;
import slateseam.router.peer.Peers;
import slateseam.tier.members.Change;
import slateseam.tier.members.LocalHealthIssue;
import slateseam.tier.members.MemberView;
import slateseam.tier.members.Members;
import slateseam.tier.members.MembersPort;
import slateseam.tier.members.MembersSettings;
import slateseam.tier.members.Reach;
import slateseam.tier.members.State;
import slateseam.tier.members.Traffic;

/**
 * Runs the tier's membership protocol on this router's event loop. Logs membership changes, reports them to operators, and informs the
 * decision module about this router's ring neighbours.
 */
public final class Tier {
    /** Interval between two ticks of the membership protocol. */
    private static final long TICK_NANOS = 50 * Clock.MILLI;
    /** Makes the random sequence used here differ from that of the decision module, which has the same configured seed. */
    private static final long SEED = 0x746965726d656d62L;
    /**
     * Minimum number of routers for which the decision module is informed. Of two routers, neither can tell whether the other has failed or
     * is only unreachable, so the decision module's own rule for ring neighbours applies.
     */
    private static final int MIN_ROUTERS = 3;

    private final Features.Tier settings;
    private final NodeConfig config;
    private final Loop loop;
    private final Consumer<Event> decision;
    private Consumer<Change> observer = change -> {};
    private final Map<Integer, Sight> reportedSights = new HashMap<>();
    private Trust trust = Trust.FULL;
    /** Null before the start and while another process acts for this router. */
    private Peers peers;

    private Members members;
    private boolean changed;
    private String lastChange = "none";
    /** Detection time of the latest failure: from the last message of the failed member until the failure was known here; 0 for none. */
    private long detectionNanos;

    /** Creates a stopped instance, which sends nothing until {@link #talk} is called. */
    public Tier(Features.Tier settings, NodeConfig config, Loop loop, Consumer<Event> decision) {
        this.settings = settings;
        this.config = config;
        this.loop = loop;
        this.decision = decision;
    }

    /** Sets the observer of each further change of this router's membership view, in addition to the log. */
    public void observe(Consumer<Change> newObserver) {
        observer = newObserver;
    }

    /**
     * Joins the tier as a newly started member, or stops without notice.
     *
     * @param newPeers sends and receives the datagrams; null to stop because another process takes over this router
     */
    public void talk(Peers newPeers) {
        peers = newPeers;
        members = null;
        reportedSights.clear();
        trust = Trust.FULL;
        if (newPeers == null) {
            return;
        }
        MembersSettings defaults = MembersSettings.usual(
                settings.name(), config.name(), config.settings().me(), config.peers());
        members = new Members(
                new MembersSettings(
                        defaults.tier(),
                        defaults.name(),
                        defaults.number(),
                        defaults.peers(),
                        settings.periodNanos(),
                        settings.watchers(),
                        6 * settings.periodNanos(),
                        defaults.recentNanos(),
                        settings.forgetNanos(),
                        defaults.most(),
                        settings.toldPlaces()),
                loop.now(),
                new SplittableRandom(config.seed() ^ SEED),
                new MembersPort() {
                    @Override
                    public void send(InetSocketAddress to, byte[] datagram) {
                        if (peers != null) {
                            peers.send(to, datagram);
                        }
                    }

                    @Override
                    public void changed(Change change) {
                        Tier.this.changed(change);
                    }
                });
        newPeers.divert(Members.firstByte(), (from, datagram) -> {
            if (members != null) {
                members.heard(loop.now(), from, datagram);
                informDecision();
            }
        });
        tick(members);
    }

    private void tick(Members expected) {
        if (expected == members) {
            members.tick(loop.now());
            informDecision();
            loop.after(TICK_NANOS, () -> tick(expected));
        }
    }

    private void changed(Change change) {
        changed = true;
        if (change.kind() == Change.Kind.FAILED) {
            detectionNanos = members.view().stream()
                    .filter(member -> member.name().equals(change.member()) && member.heardNanos() != 0)
                    .mapToLong(member -> loop.now() - member.heardNanos())
                    .findFirst()
                    .orElse(detectionNanos);
        }
        lastChange =
                change.kind().word() + " name=" + change.member() + " number=" + change.number() + " " + change.why();
        loop.log()
                .line(
                        change.kind().word(),
                        lastChange.substring(change.kind().word().length() + 1));
        observer.accept(change);
    }

    /** Informs the decision module about changes of the ring neighbours' state and of the trust in this view. */
    private void informDecision() {
        int routers = config.settings().routers();
        if (!changed || routers < MIN_ROUTERS) {
            return;
        }
        changed = false;
        Trust newTrust = switch (members.doubt()) {
            case NONE -> Trust.FULL;
            case STARTING -> Trust.OWN;
            case MINORITY -> settings.keeps() ? Trust.OWN : Trust.NONE;
            case PAUSED, UNHEARD -> Trust.NONE;
        };
        Map<Integer, Sight> current = new HashMap<>();
        for (MemberView member : members.view()) {
            // Several members may have the same number; the number counts as present if any of them is.
            current.merge(
                    member.number(),
                    member.state().isGone() ? Sight.GONE : Sight.THERE,
                    (first, second) -> first == Sight.THERE ? first : second);
        }
        int me = config.settings().me();
        for (int peer : new int[] {(me + 1) % routers, (me + routers - 1) % routers}) {
            Sight sight = current.getOrDefault(peer, Sight.UNKNOWN);
            if (reportedSights.put(peer, sight) != sight || newTrust != trust) {
                decision.accept(new TierSeen(peer, sight, newTrust));
            }
        }
        trust = newTrust;
    }

    /** Returns the numbers of the routers that are present, including this one. */
    public Set<Integer> present() {
        return members == null ? Set.of(config.settings().me()) : members.numbers();
    }

    /** Returns whether {@link #present} is reliable, that is, no local health issue casts doubt on this router's view. */
    public boolean isTrusted() {
        return members != null && members.doubt() == LocalHealthIssue.NONE;
    }

    /** Leaves the tier and announces it to the other members. */
    public void leave() {
        if (members != null) {
            members.leave(loop.now());
            members = null;
        }
    }

    private int count(State state) {
        return members == null
                ? 0
                : (int) members.view().stream()
                        .filter(member -> member.state() == state)
                        .count();
    }

    /** Registers the membership metrics. */
    public void count(Counts counts) {
        counts.gauge("tier_alive", () -> members == null ? 0 : 1 + count(State.ALIVE))
                .gauge("tier_suspect", () -> count(State.SUSPECT))
                .gauge("tier_failed", () -> count(State.FAILED))
                .gauge("tier_detect_ms", () -> (int) Math.min(Integer.MAX_VALUE, detectionNanos / Clock.MILLI))
                .gauge("tier_doubt", () -> members == null || members.doubt() == LocalHealthIssue.NONE ? 0 : 1)
                .gauge(
                        "tier_not_heard",
                        () -> members == null
                                ? 0
                                : (int) members.view().stream()
                                        .filter(member ->
                                                member.state() == State.ALIVE && members.isSilent(member.name()))
                                        .count());
        for (Traffic traffic : Traffic.values()) {
            counts.total("tier_" + traffic.word(), () -> members == null ? 0 : members.count(traffic));
        }
    }

    /** Returns this router's membership view for operators. */
    public JSONObject json() {
        if (members == null) {
            return new JSONObject().put("name", config.name()).put("talks", false);
        }
        JSONArray list = new JSONArray();
        for (MemberView member : members.view()) {
            list.put(new JSONObject()
                    .put("name", member.name())
                    .put("number", member.number())
                    .put("place", String.valueOf(member.place()))
                    .put("state", member.state().word())
                    .put("reach", member.reach().word())
                    .put("life", member.life())
                    .put("incarnation", member.incarnation())
                    .put("since_ms", member.sinceNanos() / Clock.MILLI)
                    .put("by", member.by())
                    .put(
                            "heard_ms_ago",
                            member.reach() == Reach.NOT_HEARD || member.heardNanos() == 0
                                    ? -1
                                    : (loop.now() - member.heardNanos()) / Clock.MILLI)
                    .put("silent_here", members.isSilent(member.name())));
        }
        JSONObject traffic = new JSONObject();
        for (Traffic kind : Traffic.values()) {
            traffic.put(kind.word(), members.count(kind));
        }
        return new JSONObject()
                .put("name", config.name())
                .put("number", config.settings().me())
                .put("talks", true)
                .put("life", members.life())
                .put("doubt", members.doubt().word())
                .put("trust", trust.name().toLowerCase(java.util.Locale.ROOT))
                .put("view", Integer.toHexString(members.digest()))
                .put("twice", members.isTwice())
                .put("present", members.present())
                .put("members", list)
                .put("last_change", lastChange)
                .put("traffic", traffic)
                .put("not_heard", new JSONArray(silentMembers()));
    }

    /** Returns the names of the members that this router monitors and has received nothing from. */
    private List<String> silentMembers() {
        List<String> silent = new ArrayList<>();
        for (MemberView member : members.view()) {
            if (members.isSilent(member.name())) {
                silent.add(member.name());
            }
        }
        return silent;
    }
}
