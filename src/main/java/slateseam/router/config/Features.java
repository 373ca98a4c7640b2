package slateseam.router.config;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import slateseam.decision.SupplyLinks;
import slateseam.router.config.NodeConfig.InvalidConfigException;
import slateseam.router.net.Bytes;
import slateseam.router.net.Clock;

/**
 * The features that our own settings file turns on, beside the platform's configuration. One that is off is null.
 *
 * @param multiGet the second listener, for many values at once
 * @param hotList which keys are asked for most
 * @param figures counters, gauges and timers
 * @param tap requests as they end, live
 * @param kubernetes the farm as Kubernetes tells it, in place of discovery
 * @param snapshot the farm kept over restarts
 * @param tier the members of the tier of routers, known in common
 * @param policy a policy that all routers of the tier share
 * @param serverStreams requests that may be out on one connection to a server at once
 * @param supplyLinks whether supply is exchanged beyond ring neighbours, and how often
 */
public record Features(
        MultiGet multiGet,
        HotList hotList,
        Figures figures,
        Tap tap,
        KubernetesSettings kubernetes,
        Snapshot snapshot,
        Tier tier,
        Policy policy,
        int serverStreams,
        SupplyLinks supplyLinks) {
    /** No feature at all, as without a settings file. */
    public static final Features OFF = new Features(null, null, null, null, null, null, null, null, 1, SupplyLinks.OFF);

    /** Two connections, as one closes while the next opens, and a file that is read. */
    private static final int KUBERNETES_FILES = 3;
    /** The lock, the file that is written, and its folder. */
    private static final int SNAPSHOT_FILES = 3;
    /** Of a router's name, which goes into datagrams. */
    private static final int MOST_NAME_BYTES = 64;

    private static final int MOST_VOTERS = 5;
    /** The most that a setting may name of watchers or of lines that are shown. */
    private static final int MOST_LISTED = 1_024;

    /** Many values in one answer: the listener's port, and how many commands one request may hold. */
    public record MultiGet(int port, int mostKeys) {}

    /** The hot list: how many counters, over which time, and how many are shown. */
    public record HotList(int slots, long windowNanos, int shown) {}

    /** Figures: their format, how often they are written, and where to; file and datagrams are null where not set. */
    public record Figures(boolean influx, long flushNanos, long mostStderrBytes, Path file, InetSocketAddress udp) {}

    /** The tap: its port, the buffer of each watcher, and how many there may be. */
    public record Tap(int port, int bufferBytes, int mostWatchers) {}

    /** Snapshots: the folder they lie in, the least time between two, and how old one may be when it is read. */
    public record Snapshot(Path folder, long everyNanos, long oldestNanos) {}

    /**
     * The tier: its name, the time between heartbeats, by how many each router is watched, how long one that has gone is remembered,
     * whether places are taken from others, and whether a router in the smaller part of a cut goes on using its own supply.
     */
    public record Tier(
            String name, long periodNanos, int watchers, long forgetNanos, boolean toldPlaces, boolean keeps) {}

    /** The shared policy: which routers are to vote, for how long one may serve by what it knew, and where proposals lie. */
    public record Policy(Set<Integer> voters, long leaseNanos, Path proposal) {}

    /** Reads a settings file for a router that has this configuration. */
    public static Features read(Path file, NodeConfig config) throws InvalidConfigException {
        SettingsFile settings = new SettingsFile(file);
        Map<Integer, String> ports = new HashMap<>();
        ports.put(config.listen().getPort(), "the program's own address");
        if (config.discovery().getAddress().equals(config.listen().getAddress())) {
            ports.put(config.discovery().getPort(), "discovery");
        }
        int multiGetPort = port(settings, "multiget_port", ports);
        int multiGetKeys = settings.number("multiget_max_keys", 1, 1024, 64);
        boolean hot = settings.on("hot_list");
        HotList hotList = new HotList(
                settings.number("hot_slots", 1, 8192, 512),
                settings.number("hot_window_s", 1, 86_400, 60) * 1_000 * Clock.MILLI,
                settings.number("hot_show", 1, MOST_LISTED, 20));
        boolean figuresOn = settings.on("figures");
        Figures figures = new Figures(
                settings.word("figures_format", "statsd", "influx").equals("influx"),
                settings.number("figures_flush_ms", 100, 3_600_000, 10_000) * Clock.MILLI,
                settings.number("figures_stderr_max_kb", 1, 1024 * 1024, 768) * 1024L,
                settings.path("figures_file"),
                settings.address("figures_udp"));
        int tapPort = port(settings, "tap_port", ports);
        Tap tap = new Tap(
                tapPort,
                settings.number("tap_buffer_kb", 1, 1024, 64) * 1024,
                settings.number("tap_max", 1, MOST_LISTED, 4));
        KubernetesSettings kubernetes = KubernetesSettings.read(settings, config);
        Path folder = settings.path("snapshot_folder");
        Snapshot snapshot = new Snapshot(
                folder,
                settings.number("snapshot_every_ms", 100, 3_600_000, 1_000) * Clock.MILLI,
                settings.number("snapshot_oldest_s", 1, 2_592_000, 86_400) * 1_000 * Clock.MILLI);
        Tier tier = tier(settings, config);
        Policy policy = policy(settings, config, tier);
        int serverStreams = settings.number("server_streams", 1, 100, 1);
        SupplyLinks supplyLinks = supplyLinks(settings, config);
        settings.rejectTheRest();
        Features features = new Features(
                multiGetPort == 0 ? null : new MultiGet(multiGetPort, multiGetKeys),
                hot ? hotList : null,
                figuresOn ? figures : null,
                tapPort == 0 ? null : tap,
                kubernetes,
                folder == null ? null : snapshot,
                tier,
                policy,
                serverStreams,
                supplyLinks);
        if (features.descriptors() + NodeConfig.LEAST_SOCKETS > config.sockets()) {
            String most = tapPort > 0
                    ? "tap_port"
                    : multiGetPort > 0
                            ? "multiget_port"
                            : figuresOn ? "figures" : kubernetes != null ? "kubernetes_api" : "snapshot_folder";
            throw settings.fault(
                    most,
                    "the features need " + features.descriptors()
                            + " descriptors beside the router's " + NodeConfig.LEAST_SOCKETS
                            + ", but limits.sockets is "
                            + config.sockets());
        }
        return features;
    }

    private static Tier tier(SettingsFile settings, NodeConfig config) throws InvalidConfigException {
        boolean on = settings.on("tier");
        String name = settings.text("tier_name");
        Tier tier = new Tier(
                name == null ? "slateseam" : name,
                settings.number("tier_period_ms", 50, 10_000, 200) * Clock.MILLI,
                settings.number("tier_watchers", 1, MOST_LISTED, 8),
                settings.number("tier_forget_s", 60, 604_800, 3_600) * 1_000 * Clock.MILLI,
                settings.word("tier_places", "told", "listed").equals("told"),
                settings.word("tier_in_doubt", "keep", "rest").equals("keep"));
        if (on && (config.peerListen() == null || !config.settings().limits().peers())) {
            throw settings.fault("tier", "tier is on, but the configuration lets routers send each other nothing");
        }
        if (on && config.name().getBytes(StandardCharsets.UTF_8).length > MOST_NAME_BYTES) {
            throw settings.fault("tier", "tier is on, but this router's name has over " + MOST_NAME_BYTES + " bytes");
        }
        return on ? tier : null;
    }

    private static SupplyLinks supplyLinks(SettingsFile settings, NodeConfig config) throws InvalidConfigException {
        boolean on = settings.on("supply_links");
        long pauseNanos = settings.number("supply_links_ms", 100, 10_000, 500) * Clock.MILLI;
        if (on && (config.peerListen() == null || !config.settings().limits().peers())) {
            throw settings.fault(
                    "supply_links", "supply_links is on, but the configuration lets routers send each other nothing");
        }
        return on ? new SupplyLinks(true, pauseNanos) : SupplyLinks.OFF;
    }

    private static Policy policy(SettingsFile settings, NodeConfig config, Tier tier) throws InvalidConfigException {
        boolean on = settings.on("policy");
        String named = settings.text("policy_voters");
        Set<Integer> voters = new TreeSet<>();
        int routers = config.settings().routers();
        for (String word : (named == null ? "0,1,2" : named).split(",", -1)) {
            int router = Bytes.number(word.strip());
            if (router < 0
                    || named != null && (router >= routers || !voters.add(router))
                    || voters.size() > MOST_VOTERS) {
                throw settings.fault(
                        "policy_voters",
                        "policy_voters is " + named + ", no list of up to " + MOST_VOTERS
                                + " different routers from 0 to " + (routers - 1));
            }
            if (router < routers) {
                voters.add(router);
            }
        }
        Policy policy = new Policy(
                voters,
                settings.number("policy_lease_ms", 500, 60_000, 2_000) * Clock.MILLI,
                settings.path("policy_proposal"));
        if (on && tier == null) {
            throw settings.fault("policy", "policy is on, but tier is off: who is there must be known");
        }
        return on ? policy : null;
    }

    /** A port for a listener; 0 if it is not set. */
    private static int port(SettingsFile settings, String name, Map<Integer, String> taken)
            throws InvalidConfigException {
        int port = settings.number(name, 1, NodeConfig.PORT_LIMIT, 0);
        String by = port == 0 ? null : taken.putIfAbsent(port, name);
        if (by != null) {
            throw settings.fault(name, name + " is " + port + ", which clashes with " + by);
        }
        return port;
    }

    /** How many descriptors they hold at most, beside connections that count as user agents'. */
    public int descriptors() {
        int descriptors = multiGet == null ? 0 : 1;
        if (figures != null) {
            descriptors += (figures.file() == null ? 0 : 1) + (figures.udp() == null ? 0 : 1);
        }
        if (tap != null) {
            descriptors += 1 + 2 * tap.mostWatchers(); // the listener, watchers, and as many that are turned away
        }
        if (kubernetes != null) {
            descriptors += KUBERNETES_FILES;
        }
        return descriptors + (snapshot == null ? 0 : SNAPSHOT_FILES);
    }

    /** Where a listener beside the program's own is: on its host; at any port where its own port may be any. */
    public static InetSocketAddress beside(InetSocketAddress listen, int port) {
        return new InetSocketAddress(listen.getAddress(), listen.getPort() == 0 ? 0 : port);
    }
}
