package slateseam.trial;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.UnaryOperator;
import org.json.JSONArray;
import org.json.JSONObject;
import slateseam.router.net.Clock;
import slateseam.simulate.Fleet;
import slateseam.simulate.scenario.Day;
import slateseam.simulate.scenario.Fault;
import slateseam.simulate.scenario.RouterConfig;
import slateseam.standin.sockets.SocketNet;

/** The processes of all routers: their configurations, starts, signals and ends. */
final class Routers implements AutoCloseable {
    private static final long MILLI = 1_000_000L;
    private static final long LOOK_NANOS = 20 * MILLI;
    /** After SIGTERM the platform kills no sooner than the longest deadline, or 3 s, and this. */
    private static final long KILL_NANOS = 700 * MILLI;

    private static final long LEAST_DEADLINE_NANOS = 3_000 * MILLI;
    /** The platform waits so long for the yes of a process that is to take over. */
    private static final long HEIR_NANOS = 6_000 * MILLI;

    private static final int CONTROL_PORT = 7_900;

    private final Day day;
    private final SocketNet net;
    private final UnaryOperator<String> run;
    private final Path root;
    private final Path folder;
    private final History history;
    private final Findings findings;
    private final Map<String, InetSocketAddress> listens = new LinkedHashMap<>();
    private final Map<String, RouterChild> children = new LinkedHashMap<>();
    private final Map<String, Integer> starts = new LinkedHashMap<>();
    /** A second process of a router that is to take over, until it is the one that others mean. */
    private final Map<String, RouterChild> heirs = new LinkedHashMap<>();
    /** How often each was upgraded: each process has a second address of its own. */
    private final Map<String, Integer> upgrades = new HashMap<>();

    private final Set<String> moved = new HashSet<>();
    private final RouterConfig configs;
    private DatagramLinks links;
    private Ways ways;
    private Fleet fleet;
    /** Null where no fault of the day is one of disks. */
    private final Lasting lasting;
    /** By how much clocks are to be ahead from the next start on, in nanoseconds. */
    private final Map<String, Long> ahead = new HashMap<>();

    private volatile BiConsumer<String, String> heard = (router, line) -> {};
    private boolean closing;

    /**
     * Prepares them.
     *
     * @param run the line that starts a router, by its name
     * @param root the folder in which that line is run
     * @param folder for configurations and logs
     */
    Routers(
            Day day,
            SocketNet net,
            UnaryOperator<String> run,
            Path root,
            Path folder,
            History history,
            Findings findings)
            throws IOException {
        this.day = day;
        this.net = net;
        this.run = run;
        this.root = root;
        this.folder = folder;
        this.history = history;
        this.findings = findings;
        this.configs = new RouterConfig(day);
        this.lasting =
                day.timeline().faults().stream().anyMatch(fault -> fault.kind().isOfDisks())
                        ? new Lasting(folder, findings)
                        : null;
        for (Day.Router router : day.routers()) {
            listens.put(router.name(), free());
        }
    }

    /** A port that is free now; a router that finds it taken says so and ends, and with it the trial. */
    private static InetSocketAddress free() throws IOException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
        }
    }

    /** Where each listens for datagrams, by name. */
    Map<String, InetSocketAddress> listens() {
        return listens;
    }

    /** Starts all, once everything that they meet is there. */
    void startAll(DatagramLinks between, Ways streams, Fleet met) {
        links = between;
        ways = streams;
        fleet = met;
        fleet.prefill(configs, net.now());
        day.routers().forEach(router -> start(router.name()));
    }

    /** Starts a router, with the list that its agent tells now; not once the trial ends. */
    synchronized void start(String router) {
        if (!closing) {
            children.put(router, launch(router));
        }
    }

    private RouterChild launch(String router) {
        try {
            Path own = Files.createDirectories(folder.resolve(router));
            Path config = write(router);
            starts.merge(router, 1, Integer::sum);
            history.say("rig", "starts router=" + router);
            Map<String, String> environment = new HashMap<>(
                    Map.of("NODE_CONFIG", config.toString(), "NODE_NAME", router, "TMPDIR", own.toString()));
            String line = run.apply(router);
            String options = "";
            if (lasting != null) {
                options = lasting.options(router, day.streams().number(router + " disk " + starts.get(router)));
                lasting.starts(router);
            }
            boolean shares = PolicyLook.isIn(day);
            String extra = (lasting == null ? "" : lasting.features(router))
                    + (day.routerRules().hasTier() || shares
                            ? "tier on\ntier_places listed\ntier_in_doubt "
                                    + (shares ? "keep" : day.routerRules().tier()) + "\n"
                            : "")
                    + (day.routerRules().supplyLinks() ? "supply_links on\n" : "")
                    + (shares ? "policy on\npolicy_proposal " + PolicyLook.proposal(folder, router) + "\n" : "");
            line = extra.isEmpty()
                    ? line
                    : RunLine.withFeatures(
                            line, extra, root, folder.resolve(router).resolve("features"));
            if (ahead.getOrDefault(router, 0L) != 0) {
                options += " -D" + Clock.AHEAD_MILLIS + "=" + ahead.get(router) / MILLI;
            }
            if (!options.isEmpty()) {
                environment.put("JAVA_TOOL_OPTIONS", options.strip());
            }
            return new RouterChild(router, line, root, environment, log(router), this::logged);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void logged(String router, String line) {
        history.logged(router, line);
        if (lasting != null) {
            net.run(() -> lasting.said(router, line));
        }
        heard.accept(router, line);
    }

    /** Each line of a router's log goes there too, on a thread of its own. */
    void heard(BiConsumer<String, String> listener) {
        heard = listener;
    }

    /** A router's clock is ahead by so much, or behind if negative, from its next start on. */
    void clockAhead(String router, long nanos) {
        ahead.put(router, nanos);
    }

    /** A router's disk lies, or no longer. */
    void lie(String router, Fault fault, boolean on) {
        lasting.lie(router, fault, on);
    }

    /** Empties what a router keeps. */
    void emptyDisk(String router) {
        lasting.empty(router);
    }

    private Path write(String router) throws IOException {
        Day.Router place = place(router);
        boolean elsewhere = moved.contains(router);
        JSONObject config =
                new JSONObject(configs.text(place, starts.getOrDefault(router, 0), elsewhere, fleet.list(router)));
        config.put("listen", Ways.text(net.address(place.listen())))
                .put("discovery", ways.dial(router, place.discovery(elsewhere)))
                .put("control", Ways.text(net.address(control(router))));
        if (config.has("peers")) {
            JSONArray peers = new JSONArray();
            listens.forEach((name, address) ->
                    peers.put(Ways.text(name.equals(router) ? address : links.address(router, name))));
            config.put("peers", peers).put("peer_listen", Ways.text(listens.get(router)));
        }
        Path next = Files.writeString(folder.resolve(router + ".json.next"), config.toString(1));
        return Files.move(next, folder.resolve(router + ".json"), StandardCopyOption.ATOMIC_MOVE);
    }

    private Day.Router place(String router) {
        return day.routers().stream()
                .filter(one -> one.name().equals(router))
                .findFirst()
                .orElseThrow();
    }

    /** The place of a router's second address: of the process that others mean, or once another starts of that one. */
    String control(String router) {
        return place(router).address() + ":" + (CONTROL_PORT + upgrades.getOrDefault(router, 0) % 2);
    }

    Path folder() {
        return folder;
    }

    Path log(String router) {
        return folder.resolve(router + ".log");
    }

    synchronized RouterChild child(String router) {
        return children.get(router);
    }

    synchronized List<RouterChild> all() {
        List<RouterChild> all = new ArrayList<>(children.values());
        all.addAll(heirs.values());
        return all;
    }

    /** Discovery's agent moves, and the router is told to read its configuration again. */
    void reload(String router) {
        if (moved.add(router)) {
            fleet.agent(router).move(place(router).discovery(true));
        }
        try {
            write(router);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        child(router).signal("HUP");
    }

    /** A planned restart. */
    void restart(String router) {
        RouterChild ending = child(router);
        history.say("rig", "ends router=" + router + " signal=TERM");
        ending.signal("TERM");
        awaitEnd(router, ending, net.now() + Math.max(LEAST_DEADLINE_NANOS, day.longestDeadlineNanos()) + KILL_NANOS);
    }

    /** Starts another process beside it, which takes over; the one before ends as soon as that one takes user agents. */
    synchronized void upgrade(String router) {
        RouterChild before = child(router);
        if (closing || !before.isAlive() || heirs.containsKey(router)) {
            return;
        }
        upgrades.merge(router, 1, Integer::sum);
        heirs.put(router, launch(router));
        awaitHeir(router, before, net.now() + HEIR_NANOS);
    }

    private synchronized void awaitHeir(String router, RouterChild before, long until) {
        RouterChild heir = heirs.get(router);
        if (closing) {
            return;
        }
        if (!heir.isServing()) {
            if (net.now() >= until) {
                findings.add("upgrade", router, "the process that is to take over does not take user agents");
            } else {
                net.at(net.now() + LOOK_NANOS, () -> awaitHeir(router, before, until));
            }
            return;
        }
        heirs.remove(router);
        children.put(router, heir);
        history.say("rig", "ends router=" + router + " signal=TERM for=upgrade");
        before.signal("TERM");
        awaitEnd(router, before, net.now() + Math.max(LEAST_DEADLINE_NANOS, day.longestDeadlineNanos()) + KILL_NANOS);
    }

    private void awaitEnd(String router, RouterChild ending, long killAt) {
        if (!ending.isAlive()) {
            if (child(router) == ending) {
                start(router);
            }
            return;
        }
        if (net.now() >= killAt) {
            findings.add("end", router, "it had not ended when its time was over");
            ending.signal("KILL");
        }
        net.at(net.now() + LOOK_NANOS, () -> awaitEnd(router, ending, killAt));
    }

    /** Ends all, in whatever state they are; none is started from now on. */
    @Override
    public void close() {
        List<RouterChild> all;
        synchronized (this) {
            closing = true;
            all = all();
        }
        all.forEach(RouterChild::destroy);
    }
}
