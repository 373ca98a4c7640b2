package slateseam.router;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.spi.SelectorProvider;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import slateseam.decision.Api.Limits;
import slateseam.decision.Api.RequestClass;
import slateseam.decision.Api.Rests;
import slateseam.router.config.Features;
import slateseam.router.config.KubernetesSettings;
import slateseam.router.config.NodeConfig;
import slateseam.router.config.NodeConfig.InvalidConfigException;
import slateseam.router.connections.servers.Bounds;
import slateseam.router.core.Core;
import slateseam.router.counts.ServiceCounts;
import slateseam.router.farm.Farm;
import slateseam.router.handover.Handover;
import slateseam.router.lifecycle.Lifecycle;
import slateseam.router.multiget.MultiGet;
import slateseam.router.net.BackgroundExecutor;
import slateseam.router.net.Clock;
import slateseam.router.net.Console;
import slateseam.router.net.Log;
import slateseam.router.net.Loop;
import slateseam.router.net.MalformedException;
import slateseam.router.pass.Passes;
import slateseam.router.peer.Peers;
import slateseam.router.request.Names;
import slateseam.router.request.Versions;
import slateseam.router.useragent.Acceptor;
import slateseam.router.useragent.Commands;
import slateseam.router.useragent.Requests;
import slateseam.router.useragent.RespFront;

/** One router: creates and connects its stages, and shuts them down in order. */
public final class Router {
    /** Descriptors reserved for the virtual machine, the selector, discovery and peers. */
    private static final int RESERVED_DESCRIPTORS = 48;
    /** The requests of user agents may hold at most one in this many descriptors. */
    private static final int HELD_DESCRIPTORS_DIVISOR = 3;
    /**
     * Time from the start of a planned shutdown until listeners close: new connections still arrive for up to 0.4 s.
     */
    private static final long LINGER_NANOS = 550_000_000L;
    /** How often a router that is to stop looks whether a part is still busy. */
    private static final long BUSY_POLL_NANOS = 20_000_000L;
    /** Time that a process that is to take over waits for discovery before it accepts user agents. */
    private static final long FARM_WAIT_NANOS = 2_000_000_000L;

    private final Loop loop;
    private final RespFront front;
    private final Lifecycle lifecycle = new Lifecycle();
    private final ServiceCounts served = new ServiceCounts();
    /** The listener for single commands first, then those of features; empty until the ports are reserved. */
    private final List<Acceptor> acceptors = new ArrayList<>();

    private final NodeConfig config;
    /** The configuration file in use: the last one that was accepted. */
    private NodeConfig used;

    private final Versions versions;
    private final Core core;
    private final Passes passes;
    /** The number of descriptors for the connections of user agents and servers together. */
    private final int sharedDescriptors;
    /** Null if no other process of this router ever runs. */
    private final Upgrade upgrade;

    /** Null until a planned shutdown begins. */
    private PlannedEnd plannedEnd;

    private Peers peers;
    private List<Listener> listeners = new ArrayList<>();
    private final ConfiguredFarmSource farmSource;
    private final Parts parts;

    /**
     * The environment in which a router runs.
     *
     * @param network opens the channels of the router
     * @param heapBytes the size of the heap; the memory bounds of the router are fractions of it
     * @param aside runs blocking tasks outside the loop; null if no feature needs it
     * @param handover coordinates with another process of the same router; null if there never is another process
     */
    public record Place(SelectorProvider network, long heapBytes, Executor aside, Handover handover) {
        /** Returns an environment on the network of the system. */
        public static Place system(Features features, Handover handover) {
            return on(SelectorProvider.provider(), features, handover);
        }

        /** Returns an environment on the given network, without another process of the same router. */
        public static Place on(SelectorProvider network, Features features) {
            return on(network, features, null);
        }

        private static Place on(SelectorProvider network, Features features, Handover handover) {
            return new Place(
                    network,
                    Runtime.getRuntime().maxMemory(),
                    features.kubernetes() == null ? null : new BackgroundExecutor(),
                    handover);
        }
    }

    /** Opens a router on the system's network; it serves once {@link #run} is called. */
    public Router(NodeConfig config, Features features, Clock clock, Log log, Console console) throws IOException {
        this(config, features, Place.system(features, null), clock, log, console);
    }

    /**
     * Opens a router; it serves once {@link #run} is called, or round by round through its {@link #loop}.
     *
     * @param console null only where all features are off
     */
    public Router(NodeConfig config, Features features, Place place, Clock clock, Log log, Console console)
            throws IOException {
        Handover handover = place.handover();
        this.config = config;
        this.used = config;
        loop = new Loop(place.network(), clock, log, place.heapBytes());
        Limits limits = config.settings().limits();
        sharedDescriptors = config.sockets() - RESERVED_DESCRIPTORS - Parts.descriptors(config, features, handover);
        int userAgents = userAgents(sharedDescriptors);
        Farm farm = new Farm(config.zones(), config.kinds(), config.settings().originKind());
        versions = new Versions(config.settings());
        core = new Core(loop, versions, config.seed(), config.mostHeld(), features.supplyLinks());
        passes = new Passes(
                loop,
                farm,
                core,
                limits.connectTimeoutNanos(),
                new Bounds(
                        sharedDescriptors - userAgents,
                        config.idleNanos(),
                        Math.min(features.serverStreams(), limits.streamsPerConnection()),
                        !limits.probes()),
                served::dispatched);
        farmSource = new ConfiguredFarmSource(loop, config, features, farm, handover, place.aside(), changed -> {
            passes.farmChanged();
            core.happened(changed);
            startListening();
        });
        boolean isHeir = handover != null && handover.isHeir();
        peers = isHeir ? null : openPeers();
        Names names = features.equals(Features.OFF) ? null : Names.of(config.settings(), versions.names());
        front = new RespFront(
                loop, lifecycle, longestAnswerNanos(), userAgents, config.sockets() / HELD_DESCRIPTORS_DIVISOR);
        boolean sharesAddress = handover != null;
        upgrade = sharesAddress ? new Upgrade(loop, handover, this::takeOver, this::shareMachine) : null;
        parts = new Parts(
                new Parts.Base(
                        config,
                        features,
                        loop,
                        core,
                        passes,
                        farm,
                        front,
                        lifecycle,
                        served,
                        names,
                        console,
                        sharesAddress,
                        this::adopt),
                farmSource,
                upgrade);
        core.start(passes, peers, farmSource);
        if (peers != null) {
            parts.setPeers(peers);
        }
        if (isHeir) {
            core.happened(new Rests(true));
        }
        boolean farmIsKnown = !isHeir;
        try {
            core.happened(farmSource.initialMembers());
            farmIsKnown |= farmSource.isFromPreviousProcess();
        } catch (MalformedException e) {
            log.line("farm-malformed", "the list of the farm known at startup was dropped: " + e.getMessage());
        }
        Requests requests = new Requests(core, versions, config.mostHeld());
        listeners.add(new Listener(config.listen(), front.gate(new Commands(requests, lifecycle)), sharesAddress));
        if (features.multiGet() != null) {
            MultiGet dialect = new MultiGet(
                    loop,
                    requests,
                    lifecycle,
                    features.multiGet().mostKeys(),
                    limits.maxRetryAfterNanos(),
                    loop.heapBytes() / 10); // slightly less than the bound on unread input in the front
            listeners.add(new Listener(
                    Features.beside(config.listen(), features.multiGet().port()), front.gate(dialect), sharesAddress));
        }
        served.name(versions.names());
        served.gauge("concurrent", core::open)
                .gauge("targets", farm::servers)
                .gauge("targets_disabled", core::serversWithoutRequests);
        core.observe(served);
        parts.begin();
        if (!isHeir) {
            reservePorts(); // a port that is in use is reported before the wait for the farm
        }
        if (!farmIsKnown) {
            loop.after(FARM_WAIT_NANOS, this::startListening);
        } else if (!farmSource.whenFirstReported(this::startListening)) {
            listenNow();
        }
        if (!config.settings().askedDiscovery()) {
            farmSource.begin();
        }
        parts.observers().forEach(core::observe);
    }

    private record Listener(InetSocketAddress at, Acceptor.Gate gate, boolean sharesAddress) {}

    /**
     * Returns the user agents' share of descriptors: more than half, as each open request and idle connection takes
     * one.
     */
    private static int userAgents(int descriptors) {
        return descriptors * 3 / 5;
    }

    /** Starts to accept user agents; until then health checks report that this router does not accept them. */
    private void listenNow() throws IOException {
        reservePorts();
        for (Acceptor acceptor : acceptors) {
            acceptor.begin();
        }
        lifecycle.started();
    }

    private void reservePorts() throws IOException {
        List<Listener> open = listeners;
        listeners = List.of();
        for (Listener listener : open) {
            acceptors.add(new Acceptor(loop, listener.at(), listener.gate(), listener.sharesAddress()));
        }
    }

    private void startListening() {
        try {
            boolean wasStarting = !listens();
            listenNow();
            if (wasStarting && lifecycle.takesUserAgents()) {
                loop.log().line("serving", "at " + address());
            }
        } catch (IOException e) {
            loop.log().line("socket-error", e.getMessage());
            loop.stop(); // no health check has succeeded yet
        }
    }

    private Peers openPeers() throws IOException {
        return config.peerListen() == null
                ? null
                : new Peers(loop, config.peerListen(), config.peers(), config.peersAll(), core::happened);
    }

    /** Takes over the supply and the message port; returns false while the other process still holds the port. */
    private boolean takeOver() {
        try {
            peers = openPeers();
            core.setPeers(peers);
            core.happened(new Rests(false));
            parts.setPeers(peers);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Limits this process to half of the descriptors and buffers while another process of this router runs. */
    private void shareMachine(boolean halved) {
        loop.memory().setShared(halved);
        int available = halved ? (sharedDescriptors - RESERVED_DESCRIPTORS) / 2 : sharedDescriptors;
        int ofUserAgents = userAgents(available);
        front.bound(ofUserAgents, config.sockets() / HELD_DESCRIPTORS_DIVISOR / (halved ? 2 : 1));
        passes.bound(available - ofUserAgents);
    }

    /**
     * Returns whether this router has begun to accept user agents. It does so once the present state of the farm is
     * known, or once waiting for that has failed.
     */
    public boolean listens() {
        return lifecycle.state() != Lifecycle.State.STARTING;
    }

    /** Returns the address to which user agents connect. */
    public InetSocketAddress address() throws IOException {
        return acceptors.get(0).address();
    }

    /** Returns the control address for operators; may be called only if the configuration has one. */
    public InetSocketAddress controlAddress() throws IOException {
        return parts.controlAddress();
    }

    /** Returns the address for batches of reads; may be called only if that feature is on. */
    public InetSocketAddress multiGetAddress() throws IOException {
        return acceptors.get(1).address();
    }

    /** Returns the address of the tap; null if no part listens. */
    public InetSocketAddress tapAddress() throws IOException {
        return parts.address();
    }

    /** Returns the event loop on which all stages of this router run. */
    public Loop loop() {
        return loop;
    }

    /** Serves requests until the router has stopped. */
    public void run() throws IOException {
        if (lifecycle.takesUserAgents()) {
            loop.log().line("serving", "at " + address());
        }
        loop.run();
    }

    /**
     * Reads the configuration and the settings file again; may be called from any thread. Adopts classes, limits and
     * rules, and the address and access data of discovery or of the Kubernetes API; other changes have no effect
     * before a restart. A file that is not valid changes nothing.
     *
     * @param settings the settings file; null for none
     */
    public void reload(Path file, Path settings) {
        loop.handOver(() -> {
            try {
                NodeConfig changed = used.reread(file);
                boolean followsKubernetes = settings != null && farmSource.followsKubernetes();
                applyReload(
                        changed,
                        parts.withPolicy(changed),
                        followsKubernetes ? Features.read(settings, changed).kubernetes() : null);
            } catch (InvalidConfigException e) {
                served.reloaded(false);
                loop.log().line("reload-failed", "the configuration in use stays: " + e.getMessage());
            }
        });
    }

    /** Reloads with a configuration that has already been read; may be called from any thread. */
    public void reload(NodeConfig changed) {
        loop.handOver(() -> {
            try {
                applyReload(changed, parts.withPolicy(changed), null);
            } catch (InvalidConfigException e) {
                served.reloaded(false);
                loop.log().line("reload-failed", "the configuration in use stays: " + e.getMessage());
            }
        });
    }

    /** Returns the longest deadline of the classes in force, in nanoseconds. */
    private long longestAnswerNanos() {
        return versions.current().settings().longestAnswerNanos();
    }

    /** Puts settings into force, whether they come from a file or from the policy of the tier. */
    private void adopt(NodeConfig changed) {
        core.retune(changed.settings());
        front.setLongestAnswer(longestAnswerNanos());
        if (plannedEnd != null) {
            plannedEnd.limit(longestAnswerNanos());
        }
        parts.settingsChanged(changed);
        served.name(versions.names());
    }

    /**
     * Adopts a changed configuration file.
     *
     * @param changed the configuration file of this router
     * @param effective the effective configuration: the file, overlaid with the policy of the tier
     */
    private void applyReload(NodeConfig changed, NodeConfig effective, KubernetesSettings settings) {
        served.reloaded(true);
        used = changed;
        adopt(effective);
        loop.log()
                .line(
                        "reloaded",
                        farmSource.moveTo(changed, settings) + "; classes "
                                + String.join(
                                        ", ",
                                        changed.settings().classes().stream()
                                                .map(RequestClass::name)
                                                .toList()));
    }

    /** Shows the most requested keys, if that feature is on; may be called from any thread. */
    public void showHotList() {
        loop.handOver(parts::show);
    }

    /**
     * Begins a planned shutdown; may be called from any thread. New connections are accepted for a short time, then
     * connections are closed between requests, and the loop stops when the last connection has closed: a user agent
     * that still reads its answers is waited for.
     */
    public void end() {
        loop.handOver(() -> {
            if (lifecycle.end()) {
                plannedEnd = new PlannedEnd(loop, core, front, longestAnswerNanos());
                if (upgrade != null && upgrade.beginEnd()) {
                    handOver();
                } else {
                    loop.after(LINGER_NANOS, this::close);
                }
            }
        });
    }

    /** Hands over supply, message port and user agents to the other process of this router. */
    private void handOver() {
        try {
            if (peers != null) {
                peers.close();
            }
        } catch (IOException e) {
            loop.log().line("socket-error", e.toString());
        }
        core.setPeers(null);
        parts.setPeers(null);
        core.happened(new Rests(true));
        upgrade.handOver();
        close();
    }

    private void close() {
        try {
            for (Acceptor acceptor : acceptors) {
                acceptor.closeEmpty();
            }
            parts.close();
        } catch (IOException e) {
            loop.log().line("socket-error", e.toString());
        }
        front.onClose(this::stopWhenEmpty);
        lifecycle.close();
        stopWhenEmpty();
    }

    private void stopWhenEmpty() {
        if (front.connections() == 0 && parts.isBusy()) {
            loop.after(BUSY_POLL_NANOS, this::stopWhenEmpty);
        } else if (front.connections() == 0) {
            stop();
        }
    }

    private void stop() {
        if (!loop.isStopped()) {
            parts.stop();
        }
        loop.stop();
    }
}
