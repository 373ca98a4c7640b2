package slateseam.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.apache.commons.rng.simple.RandomSource;
import org.json.JSONArray;
import org.json.JSONException;
import org.json.JSONObject;
import slateseam.router.config.Features;
import slateseam.router.config.NodeConfig.InvalidConfigException;
import slateseam.router.net.Clock;
import slateseam.standin.DiscoveryAgent;
import slateseam.standin.DiscoveryFigures;
import slateseam.standin.Witness;
import slateseam.standin.World;
import slateseam.standin.sockets.SocketNet;
import slateseam.trial.DatagramLinks;
import slateseam.trial.RouterChild;

/** One run: starts everything, measures phase by phase, and ends all that it started. */
final class ScaleRun implements AutoCloseable {
    private static final long LOOK_MILLIS = 20;
    private static final double START_SECONDS = 60;
    /** After a change of what runs, until it counts as usual again. */
    private static final double SETTLE_SECONDS = 5;

    private static final double HOLD_SECONDS = 20;
    private static final double DEATH_SECONDS = 15;
    private static final double HEAL_SECONDS = 60;
    /** Hollow routers whose view is looked at where looking at all would cost too much. */
    private static final int SAMPLE = 32;

    private static final String CALM = "calm";

    private final ScaleSettings settings;
    private final Path folder;
    private final Path root;
    private final String run;
    private final Consumer<String> progress;
    private final Clock clock = Clock.system();
    private final Waiting waiting;
    private final Impairments impairments = new Impairments();
    private final Sightings sightings = new Sightings(clock);
    private final ScaleResult result;
    private final RouterTexts texts;
    private final SocketNet net;
    private final HollowTier hollow;
    private final Map<Integer, DiscoveryAgent> agents = new LinkedHashMap<>();
    private final List<RealRouter> real = new ArrayList<>();
    private final AtomicBoolean closing = new AtomicBoolean();
    private DatagramLinks links;
    private FaultPlayer faults;
    private int changes;

    /**
     * Prepares a run.
     *
     * @param run the line that starts a real router
     * @param root the folder in which that line is run
     * @param folder for configurations and logs
     */
    ScaleRun(ScaleSettings settings, String run, Path root, Path folder, Consumer<String> progress) throws IOException {
        this.settings = settings;
        this.run = run;
        this.root = root;
        this.folder = folder;
        this.progress = progress;
        waiting = new Waiting(clock, settings.mostSeconds(), this::checkReal);
        result = new ScaleResult(settings);
        texts = new RouterTexts(settings);
        net = new SocketNet(4 * settings.routers() + SAMPLE);
        hollow = new HollowTier(settings.threads(), impairments, clock);
    }

    /** Plays it to its end; may be called once. */
    ScaleResult play() throws IOException, InterruptedException, InvalidConfigException {
        try {
            prepare();
            join();
            boolean shared = settings.policy() && beginPolicy();
            if (settings.turns() > 0) {
                cost();
            }
            change(CALM, shared ? settings.changes() : 0);
            deaths(CALM, settings.deaths());
            for (ScaleFault fault : settings.faults()) {
                play(fault, shared);
            }
        } catch (Waiting.TimeOverException e) {
            result.fault(e.getMessage());
        }
        String error = hollow.error();
        if (error != null) {
            result.fault(error);
        }
        return result;
    }

    private void prepare() throws IOException, InvalidConfigException {
        Places places = new Places();
        List<InetSocketAddress> listens = new ArrayList<>();
        for (int router = 0; router < settings.routers(); router++) {
            listens.add(places.datagrams(router));
            impairments.at(router, listens.get(router));
        }
        Path features = Files.writeString(
                folder.resolve("hollow-features"),
                texts.features(folder.resolve("none").toString()));
        List<InetSocketAddress> shared = List.copyOf(listens);
        var farm = texts.farm();
        World world = new World(net, net, new Witness() {});
        net.run(() -> {
            for (int router = 0; router < settings.routers(); router++) {
                agents.put(
                        router,
                        new DiscoveryAgent(
                                "discovery-" + router,
                                DiscoveryFigures.usual(),
                                world,
                                RandomSource.XO_RO_SHI_RO_128_PP.create(router),
                                farm));
            }
        });
        Map<String, InetSocketAddress> reals = new LinkedHashMap<>();
        for (int which = 0; which < settings.real(); which++) {
            int router = settings.numberOfReal(which);
            impairments.count(router);
            reals.put(RouterTexts.name(router), listens.get(router));
        }
        synchronized (this) {
            links = new DatagramLinks(
                    reals,
                    new DatagramLinks.Conditions(0, 0, 0, 0),
                    RandomSource.XO_RO_SHI_RO_128_PP.create(1),
                    (from, to, bytes, lost) -> impairments.between(
                            RouterTexts.number(from), RouterTexts.number(to), bytes[0], bytes.length, !lost));
        }
        faults = new FaultPlayer(settings, impairments, links, hollow, real, sightings);
        Features told = null;
        for (int router = 0; router < settings.routers(); router++) {
            InetSocketAddress discovery = net.address("discovery-" + router);
            if (settings.isReal(router)) {
                real.add(real(router, places, shared, discovery));
                continue;
            }
            told = told == null ? Features.read(features, texts.hollow(router, shared, discovery)) : told;
            hollow.add(router, texts, shared, discovery, told, sightings);
        }
    }

    private RealRouter real(int router, Places places, List<InetSocketAddress> listens, InetSocketAddress discovery)
            throws IOException {
        List<InetSocketAddress> peers = new ArrayList<>(listens);
        for (int which = 0; which < settings.real(); which++) {
            int other = settings.numberOfReal(which);
            if (other != router) {
                peers.set(other, links.address(RouterTexts.name(router), RouterTexts.name(other)));
            }
        }
        RealRouter.Addresses addresses = new RealRouter.Addresses(
                places.connections(router), places.connections(router), listens.get(router), discovery);
        return new RealRouter(
                router, addresses, peers, texts, folder, new RealRouter.Launch(root, run), sightings::said);
    }

    /** All start at once; until all see all. */
    private void join() throws IOException, InterruptedException {
        progress.accept("all join");
        PhaseWatch watch = watch("join", List.of());
        long since = clock.nanos();
        hollow.start();
        for (RealRouter one : real) {
            start(one, RealRouter.Mode.ALL);
        }
        awaitServing();
        Map<Integer, Double> seen = new HashMap<>();
        List<Integer> sample = sample();
        boolean all = await(settings.joinSeconds(), 250, () -> {
            for (int number : sample) {
                if (!seen.containsKey(number) && hollow.present(number) == settings.routers()) {
                    seen.put(number, secondsSince(since));
                }
            }
            return seen.size() == sample.size();
        });
        result.add("join", "all start until one sees all, hollow", "s", seen.values(), sample.size() - seen.size());
        Map<Integer, Double> seenByReal = new HashMap<>();
        all &= await(settings.joinSeconds(), 1_000, () -> {
            for (RealRouter one : real) {
                if (!seenByReal.containsKey(one.number()) && present(one) == settings.routers()) {
                    seenByReal.put(one.number(), secondsSince(since));
                }
            }
            return seenByReal.size() == real.size();
        });
        result.add(
                "join",
                "all start until one sees all, real",
                "s",
                seenByReal.values(),
                real.size() - seenByReal.size());
        watch.end();
        if (!all) {
            result.fault("not all had seen all within " + settings.joinSeconds() + " s of the start");
        }
        sightings.takeWrongDeaths();
    }

    /** Hollow routers, evenly spread. */
    private List<Integer> sample() {
        List<Integer> all = hollow.numbers();
        int step = Math.max(1, all.size() / SAMPLE);
        return IntStream.range(0, all.size())
                .filter(i -> i % step == 0)
                .mapToObj(all::get)
                .toList();
    }

    private int present(RealRouter one) throws IOException {
        try {
            return new JSONObject(one.ask("GET", "/tier")).optInt("present");
        } catch (JSONException e) {
            return 0;
        }
    }

    private void start(RealRouter one, RealRouter.Mode mode) throws IOException {
        JSONObject known =
                net.call(() -> new JSONObject(agents.get(one.number()).whole()));
        synchronized (this) {
            if (!closing.get()) {
                one.start(mode, known);
            }
        }
    }

    private void awaitServing() throws IOException, InterruptedException {
        boolean serve = await(
                START_SECONDS,
                LOOK_MILLIS,
                () -> real.stream()
                        .allMatch(one -> one.child().isServing() || !one.child().isAlive()));
        for (RealRouter one : real) {
            if (!serve || !one.child().isAlive()) {
                throw new IllegalStateException(
                        one.name() + " does not run; its log: " + folder.resolve(one.name() + ".log"));
            }
        }
    }

    /** A group of voters begins, at the first router; whether it did. */
    private boolean beginPolicy() throws IOException, InterruptedException {
        progress.accept("the policy's group begins");
        PhaseWatch watch = watch("begin", real);
        long since = clock.nanos();
        String[] why = {""};
        boolean begun = await(settings.joinSeconds(), 500, () -> {
            try {
                real.get(0).ask("POST", "/policy/begin");
                return true;
            } catch (IOException e) {
                why[0] = e.getMessage();
                return why[0].startsWith("there is a group");
            }
        });
        result.add(
                "begin",
                "all see all until a group may begin",
                "s",
                begun ? List.of(secondsSince(since)) : List.of(),
                begun ? 0 : 1);
        if (!begun) {
            result.fault("no group could begin: " + why[0]);
            return false;
        }
        begun = await(settings.joinSeconds(), 500, () -> {
            JSONObject told = new JSONObject(real.get(0).ask("GET", "/policy"));
            JSONArray seats = told.optJSONArray("seats");
            return seats != null && seats.length() == settings.voters();
        });
        result.add(
                "begin",
                "begun until all voters have their seats",
                "s",
                begun ? List.of(secondsSince(since)) : List.of(),
                begun ? 0 : 1);
        watch.end();
        sleep(SETTLE_SECONDS);
        return begun;
    }

    /** What real routers spend with control on, with the ring alone, and with neither, in turn. */
    private void cost() throws IOException, InterruptedException {
        Map<RealRouter.Mode, CostSums> sums = new LinkedHashMap<>();
        for (RealRouter.Mode mode : RealRouter.Mode.values()) {
            sums.put(mode, new CostSums());
        }
        for (int turn = 0; turn < settings.turns(); turn++) {
            for (RealRouter.Mode mode : RealRouter.Mode.values()) {
                if (turn > 0 || mode != RealRouter.Mode.ALL) {
                    restartReal(mode);
                }
                sleep(SETTLE_SECONDS);
                sums.get(mode).add(window("cost " + mode.name().toLowerCase(Locale.ROOT), settings.windowSeconds()));
            }
        }
        CostSums all = sums.get(RealRouter.Mode.ALL);
        CostSums alone = sums.get(RealRouter.Mode.ALONE);
        sums.forEach((mode, sum) -> sum.tell("cost", mode.name().toLowerCase(Locale.ROOT), result));
        result.add(
                "cost",
                "control: all less alone, median",
                "% of a core",
                List.of(all.medianCpu() - alone.medianCpu()),
                0);
        result.add(
                "cost",
                "control: all less alone, median",
                "MB resident",
                List.of(all.medianMemory() - alone.medianMemory()),
                0);
        restartReal(RealRouter.Mode.ALL);
        awaitOneView(settings.joinSeconds());
        sleep(SETTLE_SECONDS);
    }

    private void restartReal(RealRouter.Mode mode) throws IOException, InterruptedException {
        progress.accept("real routers restart: " + mode);
        for (RealRouter one : real) {
            sightings.killed(one.name());
            one.child().signal("TERM");
        }
        await(
                START_SECONDS,
                LOOK_MILLIS,
                () -> real.stream().noneMatch(one -> one.child().isAlive()));
        for (RealRouter one : real) {
            one.child().destroy();
            start(one, mode);
            if (mode == RealRouter.Mode.ALL) {
                sightings.started(one.name());
            }
        }
        awaitServing();
    }

    /** What each real router spends in a while. */
    private List<RealCost> window(String phase, double seconds) throws IOException, InterruptedException {
        progress.accept(phase);
        PhaseWatch watch = watch(phase, real);
        sleep(seconds);
        return watch.end();
    }

    private PhaseWatch watch(String phase, List<RealRouter> of) throws IOException, InterruptedException {
        return new PhaseWatch(phase, hollow, of, impairments, clock, result);
    }

    /** Times changes of policy, proposed at the last real router. */
    private void change(String phase, int times) throws IOException, InterruptedException {
        List<Double> byReal = new ArrayList<>();
        List<Double> byHollow = new ArrayList<>();
        int missingReal = 0;
        int missingHollow = 0;
        PhaseWatch watch = watch(phase + " change", real);
        for (int i = 0; i < times; i++) {
            progress.accept(phase + ": change of policy " + (i + 1) + " of " + times);
            int number = ++changes;
            sightings.watchHold();
            real.get(real.size() - 1)
                    .propose(
                            "change-" + number,
                            new JSONObject()
                                    .put(
                                            "settings",
                                            new JSONObject()
                                                    .put("limits", new JSONObject().put("try_limit", 2 + number % 2)))
                                    .toString());
            int hollowUp = settings.hollow() - faults.down();
            await(HOLD_SECONDS, LOOK_MILLIS, () -> sightings.known().size() == hollowUp + settings.real());
            Map<Integer, Long> known = sightings.known();
            known.forEach((router, nanos) -> (settings.isReal(router) ? byReal : byHollow).add(nanos / 1e9));
            int reals = (int) known.keySet().stream().filter(settings::isReal).count();
            missingReal += settings.real() - reals;
            missingHollow += hollowUp - known.size() + reals;
            settleBefore(i + 1, times);
        }
        if (times == 0) {
            return;
        }
        watch.end();
        result.add(phase, "change of policy held, real", "s", byReal, missingReal);
        result.add(phase, "change of policy held, hollow", "s", byHollow, missingHollow);
    }

    /** Times how a death becomes known, of hollow routers that are drawn. */
    private void deaths(String phase, int times) throws IOException, InterruptedException {
        List<Double> byReal = new ArrayList<>();
        List<Double> byHollow = new ArrayList<>();
        int missingReal = 0;
        int missingHollow = 0;
        PhaseWatch watch = watch(phase + " death", real);
        for (int i = 0; i < times; i++) {
            progress.accept(phase + ": death " + (i + 1) + " of " + times);
            int dead = faults.expendable(1).get(0);
            sightings.watchDeath(RouterTexts.name(dead));
            hollow.tell(dead, HollowRouter::kill);
            int hollowUp = settings.hollow() - faults.down() - 1;
            await(DEATH_SECONDS, LOOK_MILLIS, () -> sightings.known().size() == hollowUp + settings.real());
            Map<Integer, Long> known = sightings.known();
            known.forEach((router, nanos) -> (settings.isReal(router) ? byReal : byHollow).add(nanos / 1e9));
            int reals = (int) known.keySet().stream().filter(settings::isReal).count();
            missingReal += settings.real() - reals;
            missingHollow += hollowUp - known.size() + reals;
            faults.bringBack(dead);
            settleBefore(i + 1, times);
        }
        if (times == 0) {
            return;
        }
        watch.end();
        result.add(phase, "death known, real", "s", byReal, missingReal);
        result.add(phase, "death known, hollow", "s", byHollow, missingHollow);
        result.add(phase, "wrong deaths", "count", List.of((double) sightings.takeWrongDeaths()), 0);
    }

    private void settleBefore(int next, int times) throws InterruptedException {
        if (next < times) {
            sleep(SETTLE_SECONDS);
        }
    }

    /** One fault: what it costs, what still works under it, and how long until all is as before. */
    private void play(ScaleFault fault, boolean shared) throws IOException, InterruptedException {
        String phase = fault.word();
        progress.accept(phase);
        awaitOneView(settings.joinSeconds());
        sleep(SETTLE_SECONDS);
        sightings.takeWrongDeaths();
        faults.begin(fault);
        CostSums sums = new CostSums();
        sums.add(window(phase, settings.faultSeconds()));
        sums.tell(phase, "all", result);
        result.add(phase, "taken for dead though it runs", "count", List.of((double) sightings.takeWrongDeaths()), 0);
        if (fault != ScaleFault.RESTARTS && fault != ScaleFault.REPLACEMENTS && fault != ScaleFault.HALVES) {
            change(phase, shared ? 1 : 0);
            deaths(phase, 1);
        }
        faults.end(fault);
        long since = clock.nanos();
        boolean healed = awaitOneView(HEAL_SECONDS);
        result.add(
                phase,
                "over until one view again",
                "s",
                healed ? List.of(secondsSince(since)) : List.of(),
                healed ? 0 : 1);
    }

    /** Waits until all that are looked at see all; whether they did. */
    private boolean awaitOneView(double seconds) throws IOException, InterruptedException {
        List<Integer> sample = sample();
        return await(seconds, 100, () -> {
            for (int number : sample) {
                if (hollow.present(number) != settings.routers()) {
                    return false;
                }
            }
            return true;
        });
    }

    private double secondsSince(long nanos) {
        return waiting.secondsSince(nanos);
    }

    private boolean await(double seconds, long lookMillis, Waiting.Condition condition)
            throws IOException, InterruptedException {
        return waiting.await(seconds, lookMillis, condition);
    }

    private void sleep(double seconds) throws InterruptedException {
        waiting.sleep(seconds);
    }

    /** A real router that ended by itself ends the run. */
    private void checkReal() {
        for (RealRouter one : real) {
            if (one.child() != null && one.child().hasCrashed()) {
                throw new IllegalStateException(one.name() + " ended by itself with status "
                        + one.child().status() + "; its log: " + folder.resolve(one.name() + ".log"));
            }
        }
    }

    /** Ends everything that was started, in whatever phase; may be called by any thread, and again. */
    @Override
    public void close() {
        synchronized (this) {
            if (closing.getAndSet(true)) {
                return;
            }
            waiting.end();
        }
        for (RealRouter one : List.copyOf(real)) {
            RouterChild child = one.child();
            if (child != null) {
                child.destroy();
            }
        }
        hollow.close();
        synchronized (this) {
            if (links != null) {
                links.close();
            }
        }
        net.close();
    }
}
