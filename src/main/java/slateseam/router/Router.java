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

/** One router: puts the stages together and ends them in order. */
public final class Router {
    /** Descriptors of the virtual machine, the selector, discovery and peers. */
    private static final int OTHER_SOCKETS = 48;
    /** User agents hold at most this part of the descriptors for their requests. */
    private static final int HELD_PART = 3;
    /** New connections come for up to 0.4 s after a planned end is announced. */
    private static final long LINGER_NANOS = 550_000_000L;
    /** It is killed no sooner than after the longest deadline, counted as this where it is longer, and what it may still take. */
    private static final long LONGEST_NANOS = 3_000_000_000L;
    /** Requests that come so long after a planned end began may be its own; somewhat less, as answers need their time. */
    private static final long TAKEN_NANOS = 600_000_000L;
    /** Connections that take no more commands have so long to end. */
    private static final long ENDING_NANOS = 1_100_000_000L;
    /** One that is to take over waits so long for discovery before it takes user agents. */
    private static final long FARM_NANOS = 2_000_000_000L;

    private final Loop loop;
    private long longestNanos;
    private final RespFront front;
    private final Lifecycle lifecycle = new Lifecycle();
    private final ServiceCounts served = new ServiceCounts();
    /** The program's own listener first, then those of features; none while it does not take user agents yet. */
    private final List<Acceptor> acceptors = new ArrayList<>();

    private final NodeConfig config;
    /** The file in use: the last that was taken. */
    private NodeConfig used;

    private final Versions versions;
    private final Core core;
    private final Passes passes;
    /** Of descriptors, for user agents and servers together. */
    private final int shared;
    /** Null where no other process of this router ever runs. */
    private final Upgrade upgrade;

    private Peers peers;
    private List<Listener> listeners = new ArrayList<>();
    private final ToldFarm told;
    private final Parts parts;

    /**
     * Where a router runs.
     *
     * @param network opens its channels
     * @param heapBytes the heap of which the bounds of what it holds are parts
     * @param aside does what would hold up the loop; null where no feature needs that
     * @param handover to another process that may take over, or is there already; null where none ever is
     */
    public record Place(SelectorProvider network, long heapBytes, Executor aside, Handover handover) {
        /** On the system's network, in this process. */
        public static Place system(Features features, Handover handover) {
            return on(SelectorProvider.provider(), features, handover);
        }

        /** On a network, in this process, without another process of the same router. */
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
        shared = config.sockets() - OTHER_SOCKETS - Parts.descriptors(config, features, handover);
        int userAgents = userAgents(shared);
        Farm farm = new Farm(config.zones(), config.kinds(), config.settings().originKind());
        longestNanos = config.settings().longestAnswerNanos();
        versions = new Versions(config.settings());
        core = new Core(loop, versions, config.seed(), config.mostHeld(), features.supplyLinks());
        passes = new Passes(
                loop,
                farm,
                core,
                limits.connectTimeoutNanos(),
                new Bounds(
                        shared - userAgents,
                        config.idleNanos(),
                        Math.min(features.serverStreams(), limits.streamsPerConnection())),
                served::dispatched);
        told = new ToldFarm(loop, config, features, farm, handover, place.aside(), changed -> {
            passes.farmChanged();
            core.happened(changed);
            listen();
        });
        boolean heir = handover != null && handover.isHeir();
        peers = heir ? null : openPeers();
        Names names = features.equals(Features.OFF) ? null : Names.of(config.settings(), versions.names());
        front = new RespFront(loop, lifecycle, longestNanos, userAgents, config.sockets() / HELD_PART);
        boolean several = handover != null;
        upgrade = several ? new Upgrade(loop, handover, this::takeOver, this::share) : null;
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
                        several,
                        this::adopt),
                told,
                upgrade);
        core.start(passes, peers, told);
        if (peers != null) {
            parts.talk(peers);
        }
        if (heir) {
            core.happened(new Rests(true));
        }
        boolean known = !heir;
        try {
            core.happened(told.known());
            known |= told.wasHanded();
        } catch (MalformedException e) {
            log.line("farm-malformed", "the known list was dropped: " + e.getMessage());
        }
        Requests requests = new Requests(core, versions, config.mostHeld());
        listeners.add(new Listener(config.listen(), front.gate(new Commands(requests, lifecycle)), several));
        if (features.multiGet() != null) {
            MultiGet dialect = new MultiGet(
                    loop,
                    requests,
                    lifecycle,
                    features.multiGet().mostKeys(),
                    limits.maxRetryAfterNanos(),
                    loop.heapBytes() / 10); // somewhat less than may wait unread in the front
            listeners.add(new Listener(
                    Features.beside(config.listen(), features.multiGet().port()), front.gate(dialect), several));
        }
        served.name(versions.names());
        served.gauge("concurrent", core::open).gauge("targets", farm::servers).gauge("targets_disabled", core::avoided);
        core.observe(served);
        parts.begin();
        if (!heir) {
            reservePorts(); // what somebody else holds is named before anybody waits
        }
        if (!known) {
            loop.after(FARM_NANOS, this::listen);
        } else if (!told.whenFirstTold(this::listen)) {
            listenNow();
        }
        if (!config.settings().askedDiscovery()) {
            told.begin();
        }
        parts.observers().forEach(core::observe);
    }

    private record Listener(InetSocketAddress at, Acceptor.Gate gate, boolean several) {}

    /** User agents keep more of them: a request of theirs takes one each, and so do those that only come to stay. */
    private static int userAgents(int descriptors) {
        return descriptors * 3 / 5;
    }

    /** Takes user agents from now on; before that nobody is told that it does. */
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
            acceptors.add(new Acceptor(loop, listener.at(), listener.gate(), listener.several()));
        }
    }

    private void listen() {
        try {
            boolean late = !listens();
            listenNow();
            if (late && lifecycle.takesUserAgents()) {
                loop.log().line("serving", "at " + address());
            }
        } catch (IOException e) {
            loop.log().line("socket-error", e.getMessage());
            loop.stop(); // nobody has been told yes yet
        }
    }

    private Peers openPeers() throws IOException {
        return config.peerListen() == null
                ? null
                : new Peers(loop, config.peerListen(), config.peers(), config.peersAll(), core::happened);
    }

    /** Takes the supply and the port for messages over; false while the other process still has the port. */
    private boolean takeOver() {
        try {
            peers = openPeers();
            core.talk(peers);
            core.happened(new Rests(false));
            parts.talk(peers);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Keeps to half of the descriptors while another process of this router has its own. */
    private void share(boolean halved) {
        int kept = halved ? (shared - OTHER_SOCKETS) / 2 : shared;
        int ofUserAgents = userAgents(kept);
        front.bound(ofUserAgents, config.sockets() / HELD_PART / (halved ? 2 : 1));
        passes.bound(kept - ofUserAgents);
    }

    /** Whether user agents are taken: not before the farm is known as it is now, or nobody says how it is. */
    public boolean listens() {
        return lifecycle.state() != Lifecycle.State.STARTING;
    }

    /** Where user agents connect. */
    public InetSocketAddress address() throws IOException {
        return acceptors.get(0).address();
    }

    /** Where those call who operate it, if anybody does. */
    public InetSocketAddress controlAddress() throws IOException {
        return parts.controlAddress();
    }

    /** Where user agents connect for many values at once, if that is on. */
    public InetSocketAddress multiGetAddress() throws IOException {
        return acceptors.get(1).address();
    }

    /** Where watchers connect, if the tap is on. */
    public InetSocketAddress tapAddress() throws IOException {
        return parts.address();
    }

    /** The loop that everything lives on. */
    public Loop loop() {
        return loop;
    }

    /** Serves until it has ended in order. */
    public void run() throws IOException {
        if (lifecycle.takesUserAgents()) {
            loop.log().line("serving", "at " + address());
        }
        loop.run();
    }

    /**
     * Reads the configuration and the settings file again; may be called from any thread. Of what has changed, the
     * address of discovery or of Kubernetes' API, and what it takes to talk to that, is taken over; a file that cannot
     * be used changes nothing.
     *
     * @param settings the settings file; null for none
     */
    public void reload(Path file, Path settings) {
        loop.handOver(() -> {
            try {
                NodeConfig changed = used.reread(file);
                boolean follows = settings != null && told.followsKubernetes();
                takeOver(
                        changed,
                        parts.over(changed),
                        follows ? Features.read(settings, changed).kubernetes() : null);
            } catch (InvalidConfigException e) {
                served.reloaded(false);
                loop.log().line("reload-failed", "the configuration in use stays: " + e.getMessage());
            }
        });
    }

    /** The same with a configuration that has been read. */
    public void reload(NodeConfig changed) {
        loop.handOver(() -> {
            try {
                takeOver(changed, parts.over(changed), null);
            } catch (InvalidConfigException e) {
                served.reloaded(false);
                loop.log().line("reload-failed", "the configuration in use stays: " + e.getMessage());
            }
        });
    }

    /** Settings are in force, whoever brought them. */
    private void adopt(NodeConfig changed) {
        core.retune(changed.settings());
        longestNanos = Math.max(longestNanos, changed.settings().longestAnswerNanos());
        front.longest(longestNanos);
        parts.retune(changed);
        served.name(versions.names());
    }

    /** The router's own file has changed, and with it what it runs by, which may be more. */
    private void takeOver(NodeConfig changed, NodeConfig by, KubernetesSettings settings) {
        served.reloaded(true);
        used = changed;
        adopt(by);
        loop.log()
                .line(
                        "reloaded",
                        told.moveTo(changed, settings) + "; classes "
                                + String.join(
                                        ", ",
                                        changed.settings().classes().stream()
                                                .map(RequestClass::name)
                                                .toList()));
    }

    /** Shows the keys that are asked for most, if that is on; may be called from any thread. */
    public void showHotList() {
        loop.handOver(parts::show);
    }

    /**
     * Begins a planned end; may be called from any thread. New connections are taken for a while yet, then connections
     * are closed between requests, and when the last has gone the loop ends.
     */
    public void end() {
        loop.handOver(() -> {
            if (lifecycle.end()) {
                long left = Math.min(longestNanos, LONGEST_NANOS) + TAKEN_NANOS;
                core.answerBy(loop.now() + left);
                loop.after(left, front::finish);
                loop.after(left + ENDING_NANOS, this::stop);
                if (upgrade != null && upgrade.ends()) {
                    handOver();
                } else {
                    loop.after(LINGER_NANOS, this::close);
                }
            }
        });
    }

    /** User agents come to the other process from now on, which has all that this one had. */
    private void handOver() {
        try {
            if (peers != null) {
                peers.close();
            }
        } catch (IOException e) {
            loop.log().line("socket-error", e.toString());
        }
        core.talk(null);
        parts.talk(null);
        core.happened(new Rests(true));
        upgrade.hand();
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
        if (front.connections() == 0) {
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
