package slateseam.trial;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.json.JSONArray;
import org.json.JSONObject;
import slateseam.simulate.Fleet;
import slateseam.simulate.Phases;
import slateseam.simulate.check.Supplies;
import slateseam.simulate.scenario.Day;
import slateseam.simulate.scenario.Fault;
import slateseam.simulate.scenario.FaultKind;
import slateseam.simulate.scenario.RouterConfig;
import slateseam.standin.DiscoveryAgent;
import slateseam.standin.World;
import slateseam.standin.sockets.SocketNet;
import slateseam.standin.useragent.Crowd;
import slateseam.standin.useragent.Entry;
import slateseam.standin.useragent.Front;
import slateseam.standin.useragent.Popularity;
import slateseam.standin.useragent.RudeKind;
import slateseam.standin.useragent.Surroundings;

/** One trial: starts everything, plays the day's faults on real processes, and ends all that it started. */
final class TrialPlay implements AutoCloseable {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final int MOST_CONNECTIONS = 16_384;
    private static final long START_NANOS = 60 * SECOND;
    private static final long TICK_NANOS = 20 * MILLI;
    private static final long SAMPLE_NANOS = 250 * MILLI;
    /** The rig stood still: what the routers did meanwhile was judged by a clock that they did not have. */
    private static final long STOOD_STILL_NANOS = 500 * MILLI;
    private static final long KILL_NANOS = 700 * MILLI;
    private static final long LEAST_DEADLINE_NANOS = 3 * SECOND;
    /** After a pause or a silent agent: for what a router has to catch up with. */
    private static final long CATCH_UP_NANOS = 3 * SECOND;
    private static final String FRONT = "10.5.0.1";
    /** By these something befalls streams. */
    private static final Set<FaultKind> OF_STREAMS = EnumSet.of(FaultKind.SILENCE, FaultKind.CUT, FaultKind.RESET);

    /** While one of these lasts a part of the budget may be used twice, or by nobody. */
    private static final Set<FaultKind> UNHEARD = EnumSet.of(FaultKind.ROUTER_KILL, FaultKind.RESTART, FaultKind.PAUSE,
            FaultKind.ONE_WAY, FaultKind.STALL, FaultKind.DATAGRAM_LOSS, FaultKind.CUT);
    private static final long SETTLED_NANOS = 6 * SECOND;
    /** Of the budget; what is under way between two routers counts at neither or, for a moment, at both. */
    private static final double MOST_USED = 1.3;
    private static final int OVERSPENT_SAMPLES = 8;

    private final Day day;
    private final String run;
    private final Path root;
    private final Path folder;
    private final Consumer<String> progress;
    private final SocketNet net;
    private final Findings findings;
    private final Supplies supplies = new Supplies();
    private final Map<String, InetSocketAddress> peers = new LinkedHashMap<>();
    private final Map<String, RouterChild> children = new LinkedHashMap<>();
    private final Map<String, Integer> starts = new LinkedHashMap<>();
    private final Set<String> moved = new java.util.HashSet<>();
    private final BufferedWriter history;
    private DatagramLinks links;
    private final StreamLinks streams;
    private Fleet fleet;
    private RouterConfig configs;
    private Phases phases;
    private long begin;
    private long stoodStill;
    private long lastTick;
    private int overspent;
    private boolean closing;
    private boolean over;

    /**
     * Prepares a trial.
     *
     * @param run the line that starts a router, as the deploy file has it
     * @param root the folder in which that line is run
     * @param folder for configurations, logs and the history
     */
    TrialPlay(Day day, String run, Path root, Path folder, Consumer<String> progress) throws IOException {
        this.day = day;
        this.run = run;
        this.root = root;
        this.folder = folder;
        this.progress = progress;
        for (Fault fault : day.timeline().faults()) {
            // User agents reach their routers without a relay, as ports are what tells routers apart there.
            List<String> unheld = fault.targets().stream().filter(target -> target.contains("user-")
                    || fault.kind() != FaultKind.CUT && target.startsWith("router-")).toList();
            if (OF_STREAMS.contains(fault.kind()) && !unheld.isEmpty()) {
                throw new IllegalArgumentException("a trial cannot play " + fault.kind().word() + " of " + unheld.get(0)
                        + ", only between routers, or between a router and a server, the origin or its agent; the simulation can");
            }
        }
        net = new SocketNet(MOST_CONNECTIONS);
        streams = new StreamLinks(net);
        findings = new Findings(net::now, day.routerRules().drainGraceNanos());
        history = Files.newBufferedWriter(folder.resolve("history.log"));
    }

    /** Plays it to its end; may be called once. */
    TrialResult play() throws IOException, InterruptedException {
        for (Day.Router router : day.routers()) {
            peers.put(router.name(), free());
        }
        Day.Network network = day.network();
        links = new DatagramLinks(peers, new DatagramLinks.Conditions(network.datagramLeastNanos(),
                network.datagramMostNanos(), network.lost(), network.doubled()), day.streams().of("links"), this::told);
        net.run(() -> {
            fleet = new Fleet(day, new World(net, net, findings), host -> say("rig", "starts server=" + host),
                    this::dial);
            configs = new RouterConfig(day);
            fleet.start();
            fleet.prefill(configs, net.now());
            day.routers().forEach(router -> start(router.name()));
        });
        awaitServing();
        net.run(this::begin);
        long longest = day.durationNanos() + day.longestDeadlineNanos() + SECOND;
        long end = begin + longest;
        while (net.now() < end && !isClosing()) {
            progress.accept(String.format(Locale.ROOT, "%.0f of %.0f s", (net.now() - begin) / 1e9, longest / 1e9));
            Thread.sleep(Math.max(1, Math.min(1_000, (end - net.now()) / MILLI)));
        }
        net.run(() -> {
            over = true;
            phases.origin(phases.at(net.now()), fleet.origin().tallies());
            if (phases.unasked() > 0) {
                findings.add("unasked", "routers", phases.unasked() + " answers came that nobody had asked for");
            }
        });
        return new TrialResult(day, phases, findings.all(), stoodStill, folder);
    }

    /** Where a router reaches whoever listens at a place: through a relay if a fault of the day troubles that way. */
    private String dial(String router, String place) {
        String name = day.origin().listen().equals(place) ? Day.Origin.NAME : Stream.concat(
                day.servers().stream().filter(server -> server.listen().equals(place)).map(Day.Server::name),
                day.routers().stream().filter(r -> r.discovery(false).equals(place) || r.discovery(true).equals(place))
                        .map(Day.Router::agentName)).findFirst().orElseThrow();
        boolean troubled = day.timeline().faults().stream().filter(fault -> OF_STREAMS.contains(fault.kind()))
                .flatMap(fault -> fault.targets().stream()).anyMatch(target -> target.equals(name)
                        || target.equals(router + "~" + name) || target.equals(name + "~" + router));
        return text(net.address(troubled ? streams.open(router, name, place) : place));
    }

    private synchronized boolean isClosing() {
        return closing;
    }

    private void awaitServing() throws InterruptedException {
        long until = net.now() + START_NANOS;
        while (!isClosing()) {
            for (RouterChild child : List.copyOf(children.values())) {
                if (!child.isAlive()) {
                    throw new IllegalStateException(child.name() + " ended with status " + child.status()
                            + " before it served; its log: " + log(child.name()));
                }
            }
            if (children.values().stream().allMatch(RouterChild::isServing)) {
                return;
            }
            if (net.now() > until) {
                String late = children.values().stream().filter(child -> !child.isServing()).findFirst().orElseThrow().name();
                throw new IllegalStateException(late + " did not serve within " + START_NANOS / SECOND + " s; its log: "
                        + log(late));
            }
            Thread.sleep(10);
        }
        throw new InterruptedException();
    }

    private void begin() {
        begin = net.now();
        findings.begins(begin);
        phases = new Phases(begin, day.durationNanos(), day.timeline().faults());
        Surroundings around = new Surroundings(net, net, phases, day.classes(), day.tenants(), day.habits(), day.rate(),
                new Popularity(day.popularity()), day.values(), Surroundings.Asks.ALL, begin, day.durationNanos());
        Crowd crowd = new Crowd(around, day.userAgents(), entry(), day.streams()::of);
        crowd.start();
        for (Fault fault : day.timeline().faults()) {
            net.at(begin + fault.at(), () -> {
                say("rig", "begins fault=\"" + fault + "\"");
                begin(fault, crowd);
            });
            if (fault.kind().lasts()) {
                net.at(begin + fault.until(), () -> {
                    say("rig", "ends fault=\"" + fault + "\"");
                    end(fault);
                });
            }
        }
        phases.all().forEach(phase -> net.at(begin + phase.until(),
                () -> phases.origin(phase, fleet.origin().tallies())));
        lastTick = net.now();
        tick();
        sample();
    }

    private Entry entry() {
        if (day.userAgents().stream().allMatch(figures -> figures.router() != null)) {
            return null;
        }
        Front front = new Front(net, net, FRONT, day.routers().stream().map(Day.Router::listen).toList(),
                day.habits().noticeNanos(), begin + day.durationNanos() + day.longestDeadlineNanos());
        front.start();
        return front;
    }

    /** Looks at the rig itself, and at the processes that must not end. */
    private void tick() {
        if (over) {
            return;
        }
        long late = net.now() - lastTick - TICK_NANOS;
        stoodStill = Math.max(stoodStill, late);
        lastTick = net.now();
        children.values().stream().filter(RouterChild::hasCrashed).forEach(child ->
                findings.add("crash", child.name(), "it ended with status " + child.status() + "; its log: " + log(child.name())));
        net.at(net.now() + TICK_NANOS, this::tick);
    }

    private void sample() {
        if (over) {
            return;
        }
        synchronized (supplies) {
            double most = supplies.last().values().stream().mapToDouble(Supplies.Supply::held).max().orElse(0);
            if (!supplies.last().isEmpty()) {
                phases.at(net.now()).supply(supplies.used(), most);
                overspent = supplies.used() > MOST_USED && !isMessageTrouble() ? overspent + 1 : 0;
                if (overspent == OVERSPENT_SAMPLES) {
                    findings.add("supply", "routers", String.format(Locale.ROOT, "they use %.2f of the budget together, and no fault"
                            + " keeps them from hearing one another", supplies.used()));
                }
            }
        }
        net.at(net.now() + SAMPLE_NANOS, this::sample);
    }

    /** Whether a fault keeps routers from hearing one another, or did until lately. */
    private boolean isMessageTrouble() {
        long since = net.now() - begin;
        return day.timeline().faults().stream().filter(fault -> UNHEARD.contains(fault.kind())).anyMatch(fault -> fault.at() <= since
                && since <= fault.until() + (long) (fault.kind() == FaultKind.RESTART ? fault.size() * fault.targets().size() : 0)
                + SETTLED_NANOS);
    }

    private void told(String from, String to, byte[] bytes, boolean lost) {
        synchronized (supplies) {
            supplies.told(from, bytes, net.now());
        }
    }

    private void forget(String router) {
        synchronized (supplies) {
            supplies.forget(router);
        }
    }

    private void begin(Fault fault, Crowd crowd) {
        List<String> targets = fault.targets();
        switch (fault.kind()) {
            case CRASH, REPLACE -> targets.forEach(fleet::crash);
            case ROUTER_KILL -> targets.forEach(router -> {
                forget(router);
                child(router).signal("KILL");
            });
            case ORIGIN_SLOW -> fleet.slowOrigin(fault.size(), true);
            case ORIGIN_ERRORS -> fleet.origin().trouble(fault.size());
            case VOID -> fleet.copies().voidShare(fault.size(), day.streams().number("void " + fault.at()));
            case DRAIN -> targets.forEach(this::drain);
            case LIST_LATE -> targets.forEach(router -> agent(router).late((long) fault.size()));
            case LIST_FROZEN -> targets.forEach(router -> agent(router).freeze(true));
            case SPOILT -> targets.forEach(server -> fleet.spoil(server, fault.size()));
            case RUDE -> targets.forEach(word -> {
                RudeKind kind = RudeKind.find(word);
                crowd.rude(kind, (int) Math.ceil(day.rude().get(kind) * fault.size()), begin + fault.until());
            });
            case RESTART -> {
                for (int i = 0; i < targets.size(); i++) {
                    String router = targets.get(i);
                    net.at(begin + fault.at() + i * (long) fault.size(), () -> restart(router));
                }
            }
            case RELOAD -> targets.forEach(this::reload);
            case DATAGRAM_LOSS -> links.lose(fault.size());
            case PAUSE -> targets.forEach(router -> child(router).signal("STOP"));
            case ONE_WAY -> targets.forEach(pair -> links.mute(pair, true));
            case STALL -> targets.forEach(pair -> links.stall(pair, true));
            case CUT -> targets.forEach(pair -> cut(pair, true));
            case SILENCE -> targets.forEach(machine -> silence(machine, true));
            case RESET -> targets.forEach(machine -> streams.reset(machine, null));
            default -> { } // a surge is drawn into the rate of the user agents; the rest was refused
        }
        if (EnumSet.of(FaultKind.PAUSE, FaultKind.LIST_LATE, FaultKind.LIST_FROZEN, FaultKind.CUT, FaultKind.SILENCE)
                .contains(fault.kind())) {
            findings.excused(begin + fault.until() + (long) fault.size() + CATCH_UP_NANOS);
        }
    }

    private void end(Fault fault) {
        List<String> targets = fault.targets();
        switch (fault.kind()) {
            case CRASH -> targets.forEach(fleet::startAgain);
            case REPLACE -> targets.forEach(fleet::replace);
            case ROUTER_KILL -> targets.forEach(this::start);
            case ORIGIN_SLOW -> fleet.slowOrigin(fault.size(), false);
            case ORIGIN_ERRORS -> fleet.origin().trouble(0);
            case DRAIN -> targets.forEach(fleet::crash);
            case LIST_LATE -> targets.forEach(router -> agent(router).late(0));
            case LIST_FROZEN -> targets.forEach(router -> agent(router).freeze(false));
            case SPOILT -> targets.forEach(server -> fleet.spoil(server, 0));
            case DATAGRAM_LOSS -> links.lose(0);
            case PAUSE -> targets.forEach(router -> child(router).signal("CONT"));
            case ONE_WAY -> targets.forEach(pair -> links.mute(pair, false));
            case STALL -> targets.forEach(pair -> links.stall(pair, false));
            case CUT -> targets.forEach(pair -> cut(pair, false));
            case SILENCE -> targets.forEach(machine -> silence(machine, false));
            default -> { }
        }
    }

    /** Nothing passes between two; what hung meanwhile breaks at the end, as when a machine is back. */
    private void cut(String pair, boolean on) {
        String[] two = pair.split("~");
        if (two[0].startsWith("router-") && two[1].startsWith("router-")) {
            links.mute(pair, on);
            links.mute(two[1] + "~" + two[0], on);
            return;
        }
        streams.hold(two[0], two[1], on);
        if (!on) {
            streams.reset(two[0], two[1]);
        }
    }

    private void silence(String machine, boolean on) {
        streams.hold(machine, null, on);
        fleet.silent(machine, on);
        if (!on) {
            streams.reset(machine, null);
        }
    }

    private DiscoveryAgent agent(String router) {
        return fleet.agent(router);
    }

    private synchronized RouterChild child(String router) {
        return children.get(router);
    }

    private void drain(String server) {
        String host = fleet.server(server).name();
        fleet.drain(server);
        long longest = day.routers().stream().mapToLong(Day.Router::agentSpreadNanos).max().orElse(0);
        findings.drains(host, net.now() + day.discovery().periodNanos() + longest);
    }

    private void reload(String router) {
        if (moved.add(router)) {
            agent(router).move(place(router).discovery(true));
        }
        write(router);
        child(router).signal("HUP");
    }

    private void restart(String router) {
        RouterChild ending = child(router);
        say("rig", "ends router=" + router + " signal=TERM");
        forget(router);
        ending.signal("TERM");
        awaitEnd(router, ending, net.now() + Math.max(LEAST_DEADLINE_NANOS, day.longestDeadlineNanos()) + KILL_NANOS);
    }

    private void awaitEnd(String router, RouterChild ending, long killAt) {
        if (!ending.isAlive()) {
            start(router);
        } else {
            if (net.now() >= killAt) {
                findings.add("end", router, "it had not ended when its time was over");
                ending.signal("KILL");
            }
            net.at(net.now() + TICK_NANOS, () -> awaitEnd(router, ending, killAt));
        }
    }

    private Day.Router place(String router) {
        return day.routers().stream().filter(one -> one.name().equals(router)).findFirst().orElseThrow();
    }

    private Path log(String router) {
        return folder.resolve(router + ".log");
    }

    /** Starts a router, with the list that its agent tells now; not once the trial ends. */
    private synchronized void start(String router) {
        if (closing) {
            return;
        }
        try {
            Path own = Files.createDirectories(folder.resolve(router));
            Path config = write(router);
            starts.merge(router, 1, Integer::sum);
            say("rig", "starts router=" + router);
            children.put(router, new RouterChild(router, run, root, Map.of("NODE_CONFIG", config.toString(), "NODE_NAME", router,
                    "TMPDIR", own.toString()), log(router), this::say));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private Path write(String router) {
        Day.Router place = place(router);
        boolean elsewhere = moved.contains(router);
        JSONObject config = new JSONObject(configs.text(place, starts.getOrDefault(router, 0), elsewhere, fleet.list(router)));
        config.put("listen", text(net.address(place.listen()))).put("discovery", dial(router, place.discovery(elsewhere)))
                .put("control", text(net.address(place.address() + ":7900")));
        if (config.has("peers")) {
            JSONArray ways = new JSONArray();
            peers.forEach((name, address) -> ways.put(text(name.equals(router) ? address : links.address(router, name))));
            config.put("peers", ways).put("peer_listen", text(peers.get(router)));
        }
        try {
            Path file = folder.resolve(router + ".json");
            Path next = folder.resolve(router + ".json.next");
            Files.writeString(next, config.toString(1));
            return Files.move(next, file, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** A port that is free now; a router that finds it taken says so and ends, and with it the trial. */
    private static InetSocketAddress free() throws IOException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
        }
    }

    /** Notes who said what, and when by the rig's clock. */
    private void say(String who, String what) {
        if (what.startsWith("slateseam.") || what.startsWith("hot ")) {
            return; // figures: they are in the router's own log
        }
        synchronized (history) {
            try {
                history.write(String.format(Locale.ROOT, "t=%.3f who=%s %s%n", (net.now() - begin) / 1e9, who,
                        what.startsWith(who + ": ") ? "said=\"" + what.substring(who.length() + 2) + "\"" : what));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** Whether the rig itself stood still for so long that its figures say nothing. */
    static boolean isSpoilt(long stoodStillNanos) {
        return stoodStillNanos > STOOD_STILL_NANOS;
    }

    /** The ids of the processes that run now. */
    synchronized List<Long> running() {
        return children.values().stream().filter(RouterChild::isAlive).map(RouterChild::pid).toList();
    }

    /** Ends everything that was started, in whatever phase; may be called by any thread, and again. */
    @Override
    public void close() {
        List<RouterChild> all;
        synchronized (this) {
            if (closing) {
                return;
            }
            closing = true;
            all = new ArrayList<>(children.values());
        }
        all.forEach(RouterChild::destroy);
        if (links != null) {
            links.close();
        }
        net.close();
        synchronized (history) {
            try {
                history.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }
}
