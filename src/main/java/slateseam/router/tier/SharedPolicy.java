package slateseam.router.tier;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.json.JSONArray;
import org.json.JSONException;
import org.json.JSONObject;
import slateseam.router.config.Features;
import slateseam.router.config.NodeConfig;
import slateseam.router.config.NodeConfig.InvalidConfigException;
import slateseam.router.config.PolicyDocument;
import slateseam.router.figures.Counts;
import slateseam.router.net.Clock;
import slateseam.router.net.Loop;
import slateseam.router.peer.Peers;
import slateseam.tier.agreement.DurableState;
import slateseam.tier.agreement.Raft;
import slateseam.tier.agreement.Voter;
import slateseam.tier.policy.Policy;
import slateseam.tier.policy.PolicyPort;
import slateseam.tier.policy.PolicySettings;
import slateseam.tier.policy.Version;

/**
 * Runs this router's part in the tier's shared policy on the router's event loop. Applies the policy version in force to the router's
 * settings and tells the router whether it may serve requests.
 */
public final class SharedPolicy implements PolicyPort {
    /** Interval between two ticks of the policy protocol. */
    private static final long TICK_NANOS = 50 * Clock.MILLI;
    /** Makes the random sequence used here differ from those of other parts of the router, which have the same configured seed. */
    private static final long SEED = 0x706f6c6963793031L;
    /** Maximum size of the proposal file in bytes: room for a document of maximum size as an escaped JSON string, and other fields. */
    private static final int MAX_PROPOSAL_BYTES = 2 * PolicyDocument.MOST_BYTES;

    private final Features.Policy settings;
    private final NodeConfig config;
    private final Loop loop;
    private final Tier tier;
    private final Supplier<Tally> tally;
    private final Consumer<NodeConfig> adopt;
    /** The settings of the router's own file, without the shared policy. */
    private NodeConfig ownConfig;
    /** Null before the start and while another process acts for this router. */
    private Policy policy;

    private Peers peers;
    /** The policy document applied last; empty if there is none. */
    private byte[] document = new byte[0];
    /** The version proposed last by an operator at this router, or null. */
    private Version lastProposed;

    /**
     * Creates a stopped instance, which permits no requests until {@link #talk} is called.
     *
     * @param tally supplies the numbers of requests received, served and refused since the start
     * @param adopt puts settings in force
     */
    public SharedPolicy(
            Features.Policy settings,
            NodeConfig config,
            Loop loop,
            Tier tier,
            Supplier<Tally> tally,
            Consumer<NodeConfig> adopt) {
        this.settings = settings;
        this.config = config;
        this.ownConfig = config;
        this.loop = loop;
        this.tier = tier;
        this.tally = tally;
        this.adopt = adopt;
    }

    /**
     * Starts to take part in the policy protocol, or stops without notice.
     *
     * @param newPeers sends and receives the datagrams; null to stop because another process takes over this router
     */
    public void talk(Peers newPeers) {
        peers = newPeers;
        policy = null;
        if (newPeers == null) {
            return;
        }
        PolicySettings defaults =
                PolicySettings.usual(config.settings().me(), config.settings().routers(), settings.voters());
        policy = new Policy(
                new PolicySettings(
                        defaults.me(),
                        defaults.routers(),
                        defaults.voters(),
                        settings.leaseNanos(),
                        defaults.pollNanos(),
                        defaults.raft()),
                null,
                loop.now(),
                new SplittableRandom(config.seed() ^ SEED ^ loop.now()),
                this);
        for (byte first : Policy.firstBytes()) {
            newPeers.divert(first, this::heard);
        }
        tick(policy);
    }

    private void heard(InetSocketAddress from, byte[] datagram) {
        int router = peers == null ? -1 : peers.number(from);
        if (policy != null && router >= 0) {
            policy.heard(loop.now(), router, datagram);
        }
    }

    private void tick(Policy expected) {
        if (expected == policy) {
            policy.view(tier.present(), tier.isTrusted());
            policy.tick(loop.now());
            loop.after(TICK_NANOS, () -> tick(expected));
        }
    }

    /** Returns whether requests that arrive now may be served. */
    public boolean mayServe() {
        return policy != null && policy.mayServe(loop.now());
    }

    /** Replaces the settings of the router's own file and returns the settings that result with the policy applied on top. */
    public NodeConfig over(NodeConfig changed) throws InvalidConfigException {
        NodeConfig merged = PolicyDocument.over(changed, document);
        ownConfig = changed;
        return merged;
    }

    @Override
    public void send(int router, byte[] datagram) {
        if (peers != null) {
            peers.send(router, datagram);
        }
    }

    /**
     * Writes nothing to disk: a voter that restarts takes part under a new identity. Reports each change as durable on the next turn of the
     * loop.
     */
    @Override
    public void persist(long number, DurableState.Change change) {
        Policy expected = policy;
        loop.after(0, () -> {
            if (expected != null && expected == policy) {
                policy.persisted(number);
            }
        });
    }

    @Override
    public void forget(String why) {
        // no state is stored
    }

    @Override
    public String check(byte[] bytes) {
        try {
            PolicyDocument.over(ownConfig, bytes);
            return null;
        } catch (InvalidConfigException e) {
            return e.getMessage();
        }
    }

    @Override
    public void holds(Version version, byte[] bytes) {
        try {
            NodeConfig merged = PolicyDocument.over(ownConfig, bytes);
            document = bytes;
            adopt.accept(merged);
            loop.log()
                    .line(
                            "policy-holds",
                            "version=" + version.number() + " name=" + version.name() + " bytes=" + bytes.length);
        } catch (InvalidConfigException e) {
            loop.log()
                    .line(
                            "policy-cannot",
                            "version=" + version.number() + " fault=\"" + e.getMessage()
                                    + "\""); // unexpected, because the document was checked before
        }
    }

    @Override
    public void tell(String kind, String text) {
        loop.log().line(kind, text);
    }

    @Override
    public long unixMillis() {
        return loop.now() / Clock.MILLI;
    }

    @Override
    public Tally tally() {
        return tally.get();
    }

    /** Creates a policy group at this router; returns the reason of a failure, or null. */
    public String begin() {
        return policy == null ? "another process speaks for this router" : policy.begin();
    }

    /** Proposes the policy document in the configured proposal file; returns the reason of a failure, or null. */
    public String propose() {
        if (policy == null || policy.group() == 0) {
            return policy == null ? "another process speaks for this router" : "there is no group: policy begin";
        }
        if (settings.proposal() == null) {
            return "policy_proposal names no file";
        }
        try {
            if (Files.size(settings.proposal()) > MAX_PROPOSAL_BYTES) {
                return settings.proposal() + " has over " + MAX_PROPOSAL_BYTES + " bytes";
            }
            JSONObject proposal = new JSONObject(Files.readString(settings.proposal()));
            String name = proposal.getString("name");
            byte[] bytes = proposal.getString("document").getBytes(StandardCharsets.UTF_8);
            int watchSeconds = proposal.optInt("watch_s", 30);
            int points = proposal.optInt("points", 10);
            if (!name.matches("[A-Za-z0-9._-]{1," + Version.MOST_NAME + "}")
                    || watchSeconds < 0
                    || watchSeconds > 3_600
                    || points < 1
                    || points > 100) {
                return settings.proposal() + ": a name of 1 to " + Version.MOST_NAME
                        + " letters, digits, . _ -, watch_s 0 to 3600, points 1 to 100";
            }
            String fault = check(bytes);
            if (fault != null) {
                return fault;
            }
            lastProposed = policy.propose(
                    name,
                    bytes,
                    proposal.optBoolean("all", true),
                    proposal.optBoolean("stale", false),
                    watchSeconds,
                    points);
            return null;
        } catch (IOException | JSONException e) {
            return settings.proposal() + ": " + e.getMessage();
        }
    }

    /** Proposes to revert the newest version; returns the reason of a failure, or null. */
    public String undo() {
        lastProposed = policy == null ? null : policy.undo();
        return lastProposed == null ? "there is no version to take back" : null;
    }

    private long age() {
        return policy == null ? -1 : policy.age(loop.now());
    }

    /** Registers the policy metrics. */
    public void count(Counts counts) {
        counts.gauge(
                        "policy_version",
                        () -> policy == null || policy.held() == null
                                ? 0
                                : policy.held().number())
                .gauge(
                        "policy_newest",
                        () -> policy == null || policy.versions().newest() == null
                                ? 0
                                : policy.versions().newest().number())
                .gauge("policy_age_ms", () -> (int) Math.min(Integer.MAX_VALUE, age() / Clock.MILLI))
                .gauge("policy_serves", () -> mayServe() ? 1 : 0)
                .gauge("policy_stale", () -> policy != null && policy.isStale(loop.now()) ? 1 : 0)
                .gauge("policy_leads", () -> policy != null && policy.raft().role() == Raft.Role.LEADER ? 1 : 0)
                .gauge(
                        "policy_term",
                        () -> policy == null ? 0 : (int) policy.raft().term());
    }

    /** Returns the state of the policy for operators. */
    public JSONObject json() {
        JSONObject all = new JSONObject()
                .put("name", config.name())
                .put("number", config.settings().me())
                .put("talks", policy != null)
                .put(
                        "proposal",
                        settings.proposal() == null
                                ? JSONObject.NULL
                                : settings.proposal().toAbsolutePath().toString());
        if (policy == null) {
            return all;
        }
        JSONArray versions = new JSONArray();
        for (Version version : policy.versions().all()) {
            versions.put(new JSONObject()
                    .put("version", version.number())
                    .put("name", version.name())
                    .put("state", version.state().word())
                    .put("cause", version.cause())
                    .put("bytes", version.length())
                    .put("all", version.all())
                    .put("stale", version.stale())
                    .put("watch_s", version.watchSeconds())
                    .put("points", version.boundPoints())
                    .put("proposer", version.proposer())
                    .put("at_ms", version.atMillis())
                    .put("undoes", version.undoes()));
        }
        Raft raft = policy.raft();
        Version held = policy.held();
        String outcome = lastProposed == null ? null : policy.outcome(lastProposed);
        Version open = policy.versions().open();
        return all.put("group", Long.toHexString(policy.group()))
                .put("role", raft.role().name().toLowerCase(Locale.ROOT))
                .put("term", raft.term())
                .put("leader", raft.leader() == null ? -1 : raft.leader().router())
                .put(
                        "seats",
                        new JSONArray(raft.seats().stream().map(Voter::toString).toList()))
                .put("version", held == null ? 0 : held.number())
                .put("version_name", held == null ? "own file" : held.name())
                .put(
                        "newest",
                        policy.versions().newest() == null
                                ? 0
                                : policy.versions().newest().number())
                .put("open", open == null ? JSONObject.NULL : open.name())
                .put("verdicts", policy.verdicts())
                .put("age_ms", age() < 0 ? -1 : age() / Clock.MILLI)
                .put("holds_in_ms", Math.min(Integer.MAX_VALUE, policy.holdsIn(loop.now()) / Clock.MILLI))
                .put("serves", mayServe())
                .put("stale", policy.isStale(loop.now()))
                .put("asked", lastProposed == null ? JSONObject.NULL : lastProposed.name())
                .put("outcome", outcome == null ? JSONObject.NULL : outcome)
                .put("versions", versions);
    }
}
