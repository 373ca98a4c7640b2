package slateseam.simulate;

import java.io.PrintStream;
import java.lang.reflect.Field;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import slateseam.Census;
import slateseam.decision.Api.*;
import slateseam.decision.Brain;
import slateseam.router.Router;
import slateseam.router.config.NodeConfig;
import slateseam.simulate.network.VirtualNetwork;
import slateseam.simulate.scenario.Day;
import slateseam.simulate.scenario.FaultChoice;
import slateseam.simulate.scenario.Scenarios;

/**
 * Days of operation on the virtual clock, in a minute or two: servers are replaced for good by ones never named before,
 * the other routers are killed and restarted, user agents come and go, keys drift, classes are added and dropped. While it goes on,
 * every table that can be reached from a router is counted, and one decision is timed. Whatever rises throughout is told.
 *
 * <p>The test plays a short one; {@code main} takes the hours of the virtual clock and the seed, and prints the curves.
 */
final class LongRun {
    private static final long SECOND = 1_000_000_000L;
    private static final int SAMPLES = 24;
    private static final int QUARTERS = 4;
    /** Between two disturbances. */
    private static final int EVERY_SECONDS = 40;
    /** Fewer entries than this more, or a tenth, is no rise: a day has its ups and downs. */
    private static final long NOISE = 24;

    private static final double RISE = 1.1;
    private static final int DECISIONS = 400;
    /** Tables that fill up for long: what they hold at most, which the review states. */
    private static final Map<String, Long> BOUNDS = Map.of("ServiceCounts.all", 256L);

    private final Play play;
    private final VirtualNetwork net;
    private final Map<String, RouterProcess> routers;
    private final long nanos;
    /** Of each table of the one router that lives throughout its entries at each sample. */
    private final Map<String, long[]> curves = new TreeMap<>();

    private final List<double[]> decisions = new ArrayList<>();
    private final int[] threads = new int[SAMPLES];
    private int sample;
    private int changes;

    private LongRun(long seconds, long seed) throws Exception {
        nanos = seconds * SECOND;
        Day day = Day.draw(Scenarios.parse("long run", scenario(seconds)), seed, FaultChoice.NONE);
        play = new Play(day, null);
        net = (VirtualNetwork) field(play, "net");
        routers = routers(play);
    }

    @SuppressWarnings("unchecked")
    private static Map<String, RouterProcess> routers(Play play) throws ReflectiveOperationException {
        return (Map<String, RouterProcess>) field(play, "routers");
    }

    private static Object field(Object of, String name) throws ReflectiveOperationException {
        Field field = of.getClass().getDeclaredField(name);
        field.setAccessible(true);
        return field.get(of);
    }

    private static String scenario(long seconds) {
        StringBuilder text = new StringBuilder("""
                [day]
                duration %d s
                [sites]
                names north south
                [routers]
                number 3
                tick 100 ms
                [class read]
                share 97 %%
                effect repeatable
                aim 500 ms
                deadline 1.5 s
                [class note]
                share 2 %%
                effect keyed
                window 4 s
                aim 1.2 s
                deadline 4 s
                [class checkout]
                share 1 %%
                effect once
                aim 1.5 s
                deadline 4 s
                [tenant acme]
                share 60 %%
                limit 3 /s
                [tenant bolt]
                share 40 %%
                limit 2 /s
                [servers big]
                number 5
                cores 3
                speed 0.8..1.1
                entries 200
                [origin]
                places 6
                time 55..85 ms
                [user-agents]
                rate 3 /s
                drift 1 %%
                [rude]
                silent 20
                [script]
                """.formatted(seconds));
        String[] kinds = {
            "replace big-1 for 8 s",
            "replace big-2 big-3 for 6 s",
            "router-kill router-2 for 4 s",
            "restart router-2 size 1 s",
            "drain big-4 for 8 s",
            "replace big-4 for 5 s",
            "crash big-5 for 10 s",
            "reset router-1",
            "origin-slow size 5 for 10 s",
            "void size 80 %",
            "rude silent pipeline half-silent size 1 for 6 s",
            "restart router-3 size 1 s",
            "datagram-loss size 60 % for 10 s",
            "silence big-2 for 12 s",
            "spoilt big-3 size 20 % for 8 s",
            "reload router-1 router-2 router-3"
        };
        for (int at = EVERY_SECONDS, i = 0; at < seconds - EVERY_SECONDS; at += EVERY_SECONDS, i++) {
            text.append("at ")
                    .append(at)
                    .append(" s ")
                    .append(kinds[i % kinds.length])
                    .append('\n');
        }
        return text.toString();
    }

    private Result run() {
        for (int i = 0; i < SAMPLES; i++) {
            net.at(Play.BEGIN + (i + 1) * (nanos / SAMPLES) - 5 * SECOND, this::look);
        }
        net.at(Play.BEGIN + 30 * SECOND, this::retune);
        return play.play();
    }

    private List<Router> up() throws ReflectiveOperationException {
        List<Router> all = new ArrayList<>();
        for (RouterProcess process : routers.values()) {
            if (process.isUp()) {
                all.add((Router) field(process, "router"));
            }
        }
        return all;
    }

    /** A class never named before comes for every one that goes. */
    private void retune() {
        try {
            changes++;
            for (Router router : up()) {
                NodeConfig used = (NodeConfig) field(router, "used");
                Settings was = used.settings();
                List<RequestClass> classes = new ArrayList<>(was.classes().subList(0, 3));
                classes.add(new RequestClass(
                        "extra-" + changes, SECOND, 2 * SECOND, 1, 0, Effect.PURE, Group.ALL, 0, false));
                Settings now = new Settings(
                        was.me(),
                        was.routers(),
                        was.zone(),
                        was.tickNanos(),
                        was.askedDiscovery(),
                        was.mode(),
                        was.originKind(),
                        was.overShareWorth(),
                        classes,
                        was.tenants(),
                        was.limits(),
                        was.rules());
                ((slateseam.router.core.Core) field(router, "core")).retune(now);
            }
            net.at(net.now() + 60 * SECOND, this::retune);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }

    private void look() {
        try {
            Map<String, Long> sums = new TreeMap<>();
            double[] slowest = new double[2];
            for (Router router : up().subList(0, 1)) { // the first is never ended
                Census.of(router, "slateseam.router", "slateseam.decision")
                        .forEach((table, size) -> sums.merge(table, size, Long::sum));
                double[] one = decide((Brain) field(field(router, "core"), "brain"));
                slowest[0] = Math.max(slowest[0], one[0]);
                slowest[1] = Math.max(slowest[1], one[1]);
            }
            sums.put("descriptors", (long) routers.get("router-1").descriptors());
            sums.forEach((table, size) -> curves.computeIfAbsent(table, t -> new long[SAMPLES])[sample] = size);
            decisions.add(slowest);
            threads[sample] = Thread.activeCount();
            sample++;
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Microseconds of one decision, median and 99th percentile: reads that are served at once, of requests nobody made. */
    private double[] decide(Brain brain) {
        long[] took = new long[DECISIONS];
        List<Action> actions = new ArrayList<>();
        for (int i = 0; i < DECISIONS; i++) {
            long ticket = 1L << 50 | i;
            long begin = System.nanoTime();
            brain.handle(net.now(), new RequestArrived(ticket, 1_000 + i, 0, 0, false, false, 0, SECOND), actions::add);
            took[i] = System.nanoTime() - begin;
            for (Action action : List.copyOf(actions)) {
                if (action instanceof Send send && send.request() == ticket) {
                    brain.handle(
                            net.now(),
                            new AttemptEnded(ticket, send.member(), 0, Outcome.OK, false, true, 1_000_000),
                            a -> {});
                }
            }
            brain.handle(net.now(), new ClientGone(ticket), a -> {});
            actions.clear();
        }
        Arrays.sort(took);
        return new double[] {took[DECISIONS / 2] / 1e3, took[DECISIONS * 99 / 100] / 1e3};
    }

    /** What rises from each quarter to the next; empty if nothing does. */
    private Map<String, String> rising() {
        Map<String, String> found = new LinkedHashMap<>();
        curves.forEach((table, curve) -> {
            long[] most = new long[QUARTERS];
            for (int i = 0; i < SAMPLES; i++) {
                most[i * QUARTERS / SAMPLES] = Math.max(most[i * QUARTERS / SAMPLES], curve[i]);
            }
            boolean rises = true;
            for (int q = 2; q < QUARTERS; q++) { // the first is for warming up
                rises &= most[q] > Math.max(RISE * most[q - 1], most[q - 1] + NOISE);
            }
            if (rises && most[QUARTERS - 1] > BOUNDS.getOrDefault(table, 0L)) {
                found.put(table, Arrays.toString(most));
            }
        });
        return found;
    }

    /** Plays one; returns what was wrong, or an empty text. */
    static String play(long seconds, long seed) throws Exception {
        LongRun run = new LongRun(seconds, seed);
        Result result = run.run();
        return (result.isSound() ? "" : "rules broken: " + result.breaches().get(0) + " ")
                + (run.rising().isEmpty() ? "" : "rising: " + run.rising());
    }

    public static void main(String[] args) throws Exception {
        double hours = args.length > 0 ? Double.parseDouble(args[0]) : 48;
        LongRun run = new LongRun(Math.round(hours * 3600), args.length > 1 ? Long.parseLong(args[1]) : 1);
        Result result = run.run();
        PrintStream out = System.out;
        out.printf(
                Locale.ROOT,
                "%.1f virtual hours, %d changes of classes, rules broken %s, rising %s%n",
                hours,
                run.changes,
                result.counts(),
                run.rising());
        if (!result.isSound()) {
            out.println(result.breaches().get(0));
        }
        out.println("| table | " + "at 1/24 | 1/4 | 1/2 | 3/4 | end | most |");
        run.curves.forEach((table, curve) -> {
            long most = Arrays.stream(curve).max().orElse(0);
            if (most > 8) {
                out.println("| " + table + " | " + curve[0] + " | " + curve[5] + " | " + curve[11] + " | " + curve[17]
                        + " | " + curve[23] + " | " + most + " |");
            }
        });
        for (int i : new int[] {0, 5, 11, 17, 23}) {
            out.printf(
                    Locale.ROOT,
                    "sample %d: one decision %.1f us, p99 %.1f us; threads of the machine %d%n",
                    i + 1,
                    run.decisions.get(i)[0],
                    run.decisions.get(i)[1],
                    run.threads[i]);
        }
        System.exit(result.isSound() && run.rising().isEmpty() ? 0 : 1);
    }
}
