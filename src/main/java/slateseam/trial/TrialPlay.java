package slateseam.trial;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import slateseam.simulate.Both;
import slateseam.simulate.Fleet;
import slateseam.simulate.ServiceByPhase;
import slateseam.simulate.scenario.Day;
import slateseam.standin.World;
import slateseam.standin.sockets.SocketNet;
import slateseam.standin.useragent.Crowd;
import slateseam.standin.useragent.Entry;
import slateseam.standin.useragent.Front;
import slateseam.standin.useragent.Popularity;
import slateseam.standin.useragent.Surroundings;

/** One trial: starts everything, plays the day, and ends all that it started. */
final class TrialPlay implements AutoCloseable {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final int MOST_CONNECTIONS = 16_384;
    private static final long START_NANOS = 60 * SECOND;
    /** The rig stood still: what the routers did meanwhile was judged by a clock that they did not have. */
    private static final long STOOD_STILL_NANOS = 500 * MILLI;

    private static final String FRONT = "10.5.0.1";

    private final Day day;
    private final Path folder;
    private final Consumer<String> progress;
    private final SocketNet net;
    private final Findings findings;
    private final History history;
    private final StreamLinks streams;
    private final Ways ways;
    private final Routers routers;
    private final Look look;
    private DatagramLinks links;
    private Fleet fleet;
    private ServiceByPhase phases;
    private long begin;
    private boolean closing;

    /**
     * Prepares a trial.
     *
     * @param run the line that starts a router, by its name
     * @param root the folder in which that line is run
     * @param folder for configurations, logs and the history
     * @throws IllegalArgumentException if a trial cannot play this day
     */
    TrialPlay(Day day, UnaryOperator<String> run, Path root, Path folder, Consumer<String> progress)
            throws IOException {
        Ways.check(day);
        this.day = day;
        this.folder = folder;
        this.progress = progress;
        net = new SocketNet(MOST_CONNECTIONS);
        findings = new Findings(net::now, day.routerRules().drainGraceNanos());
        history = new History(folder.resolve("history.log"), net::now);
        streams = new StreamLinks(net);
        ways = new Ways(day, net, streams);
        routers = new Routers(day, net, run, root, folder, history, findings);
        look = new Look(day, net, routers, findings, history);
    }

    /** Plays it to its end; may be called once. */
    TrialResult play() throws IOException, InterruptedException {
        Day.Network network = day.network();
        synchronized (this) {
            if (!closing) {
                links = new DatagramLinks(
                        routers.listens(),
                        new DatagramLinks.Conditions(
                                network.datagramLeastNanos(),
                                network.datagramMostNanos(),
                                network.lost(),
                                network.doubled()),
                        day.streams().of("links"),
                        (from, to, bytes, lost) -> look.told(from, bytes));
            }
        }
        net.run(() -> {
            fleet = new Fleet(
                    day,
                    new World(net, net, findings),
                    server -> history.say("rig", "starts server=" + server.name()),
                    ways::dial);
            fleet.start();
            routers.startAll(links, ways, fleet);
        });
        awaitServing();
        net.run(this::begin);
        long end = begin + day.durationNanos() + day.longestDeadlineNanos() + SECOND;
        while (net.now() < end && !isClosing()) {
            progress.accept(
                    String.format(Locale.ROOT, "%.0f of %.0f s", (net.now() - begin) / 1e9, (end - begin) / 1e9));
            Thread.sleep(Math.max(1, Math.min(1_000, (end - net.now()) / MILLI)));
        }
        net.run(() -> {
            look.end();
            phases.origin(phases.at(net.now()), fleet.origin().tallies());
            if (phases.unasked() > 0) {
                findings.add("unasked", "routers", phases.unasked() + " answers came that nobody had asked for");
            }
        });
        return new TrialResult(day, phases, findings.all(), look.stoodStill(), folder);
    }

    private synchronized boolean isClosing() {
        return closing;
    }

    private void awaitServing() throws InterruptedException {
        long until = net.now() + START_NANOS;
        while (!isClosing()) {
            for (RouterChild child : routers.all()) {
                if (!child.isAlive()) {
                    throw new IllegalStateException(child.name() + " ended with status " + child.status()
                            + " before it served; its log: " + routers.log(child.name()));
                }
                if (!child.isServing() && net.now() > until) {
                    throw new IllegalStateException(child.name() + " did not serve within " + START_NANOS / SECOND
                            + " s; its log: " + routers.log(child.name()));
                }
            }
            if (routers.all().stream().allMatch(RouterChild::isServing)) {
                return;
            }
            Thread.sleep(10);
        }
        throw new InterruptedException();
    }

    private void begin() {
        begin = net.now();
        findings.begins(begin);
        history.begins(begin);
        phases = new ServiceByPhase(begin, day.durationNanos(), day.timeline().faults());
        ServiceLook service = new ServiceLook(
                begin,
                phases.faults(),
                day.routers().stream().collect(Collectors.toMap(Day.Router::listen, Day.Router::name)));
        Crowd crowd = new Crowd(
                new Surroundings(
                        net,
                        net,
                        new Both(phases, service),
                        day.classes(),
                        day.tenants(),
                        day.habits(),
                        day.rate(),
                        new Popularity(day.popularity()),
                        day.values(),
                        Surroundings.Asks.ALL,
                        begin,
                        day.durationNanos()),
                day.userAgents(),
                entry(),
                day.streams()::of);
        crowd.start();
        TrialFaults faults =
                new TrialFaults(day, net, fleet, routers, links, streams, look, findings, history, phases, crowd);
        faults.plan(begin);
        phases.all().forEach(phase -> faults.countOriginAt(phase.until()));
        if (faults.waits()) {
            routers.heard((router, line) -> net.run(() -> faults.said(router, line)));
        }
        look.start(begin, phases, service);
    }

    /** What deals out the connections of those that have no router beside them; null if each has. */
    private Entry entry() {
        if (day.userAgents().stream().allMatch(figures -> figures.router() != null)) {
            return null;
        }
        Front front = new Front(
                net,
                net,
                FRONT,
                day.routers().stream().map(Day.Router::listen).toList(),
                day.habits().noticeNanos(),
                begin + day.durationNanos() + day.longestDeadlineNanos());
        front.start();
        return front;
    }

    /** Whether the rig itself stood still for so long that its figures say nothing. */
    static boolean isSpoilt(long stoodStillNanos) {
        return stoodStillNanos > STOOD_STILL_NANOS;
    }

    /** The ids of the processes that run now. */
    List<Long> running() {
        return routers.all().stream()
                .filter(RouterChild::isAlive)
                .map(RouterChild::pid)
                .toList();
    }

    /** Ends everything that was started, in whatever phase; may be called by any thread, and again. */
    @Override
    public void close() {
        synchronized (this) {
            if (closing) {
                return;
            }
            closing = true;
        }
        routers.close();
        synchronized (this) {
            if (links != null) {
                links.close();
            }
        }
        net.close();
        history.close();
    }
}
