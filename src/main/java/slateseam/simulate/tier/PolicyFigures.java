package slateseam.simulate.tier;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.DoubleAdder;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.HdrHistogram.Histogram;
import slateseam.simulate.tier.MembersWorld.Ways;
import slateseam.tier.policy.Version;

/** How long a change of policy takes until it holds everywhere, how long two versions are served at once, and what it costs. */
public final class PolicyFigures {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final long MOST = 20 * SECOND;
    private static final int CHANGES = 10;
    /** So that the small sizes are not measured before the code is compiled. */
    private static final int WARM_UP_ROUTERS = 20;

    /** What goes wrong meanwhile. */
    private enum Case {
        CALM,
        LOSS_20,
        ONE_DOWN,
        LEADER_KILLED;

        String text() {
            return name().toLowerCase(Locale.ROOT).replace('_', ' ');
        }
    }

    private PolicyFigures() {}

    /**
     * What ten changes gave, over all seeds.
     *
     * @param half,most seconds from the proposal until the version is held everywhere: the median and the 99th percentile
     * @param mixedMillis for how long at the most two versions were served at once
     * @param refused of all requests, in hundredths
     * @param datagrams,bytes a router and second
     * @param mostDatagrams,mostBytes a second, of the router that sends most
     * @param core a router's part of a core, in hundredths, the virtual network's own among it
     * @param begun seconds from the start of all until the group's first state is held
     */
    private record Found(
            double half,
            double most,
            long mixedMillis,
            double refused,
            double datagrams,
            double bytes,
            double mostDatagrams,
            double mostBytes,
            double core,
            double begun) {
        String row() {
            return String.format(
                    Locale.ROOT,
                    "%.2f / %.2f | %d | %.2f | %.1f, %.0f",
                    half,
                    most,
                    mixedMillis,
                    refused,
                    datagrams,
                    bytes);
        }
    }

    /** What grows or may grow. */
    private enum Figure {
        BEGUN("all start at once: a group after s", Found::begun),
        HALF("propose to held everywhere, median s", Found::half),
        MOST("propose to held everywhere, 99% s", Found::most),
        MIXED("two versions at once ms, most", Found::mixedMillis),
        DATAGRAMS("datagrams sent a second", Found::datagrams),
        BYTES("bytes sent a second", Found::bytes),
        MOST_DATAGRAMS("datagrams sent a second by the one that sends most", Found::mostDatagrams),
        MOST_BYTES("bytes sent a second by the one that sends most", Found::mostBytes),
        CORE("of a core %", Found::core);

        private final String text;
        private final ToDoubleFunction<Found> of;

        Figure(String text, ToDoubleFunction<Found> of) {
            this.text = text;
            this.of = of;
        }
    }

    /** A row for each case and figure: at each size, the fit where there are sizes enough, and what it comes to at a size. */
    public static void slopes(int[] routers, long from, long to, int at, Consumer<String> rows) {
        found(WARM_UP_ROUTERS, Case.CALM, from, from);
        rows.accept("| case | a router | "
                + String.join(
                        " | ", Arrays.stream(routers).mapToObj(String::valueOf).toList()) + " |"
                + Slope.headings(routers, at));
        for (Case one : Case.values()) {
            List<Found> found = new ArrayList<>();
            for (int n : routers) {
                found.add(found(n, one, from, to));
            }
            for (Figure figure : Figure.values()) {
                double[] figures = found.stream().mapToDouble(figure.of).toArray();
                StringBuilder row = new StringBuilder("| ")
                        .append(one.text())
                        .append(" | ")
                        .append(figure.text)
                        .append(" | ");
                for (double value : figures) {
                    row.append(String.format(Locale.ROOT, "%.4g | ", value));
                }
                rows.accept(row + Slope.text(routers, figures, at));
            }
        }
    }

    /** A row for each number of routers and case. */
    public static void run(int[] routers, long from, long to, Consumer<String> rows) {
        rows.accept(
                "| routers | case | propose to held everywhere s, 50 / 99% | two versions at once ms, most | refused % | datagrams, bytes a router and second |");
        for (int n : routers) {
            for (Case one : Case.values()) {
                rows.accept("| " + n + " | " + one.text() + " | "
                        + found(n, one, from, to).row() + " |");
            }
        }
    }

    private static long mostMore(long[] before, long[] after) {
        return IntStream.range(0, before.length)
                .mapToLong(i -> after[i] - before[i])
                .max()
                .orElse(0);
    }

    private static Found found(int n, Case one, long from, long to) {
        Histogram times = new Histogram(3);
        List<long[]> sums = new ArrayList<>();
        DoubleAdder core = new DoubleAdder();
        DoubleAdder begun = new DoubleAdder();
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        LongStream.rangeClosed(from, to).parallel().forEach(seed -> {
            PolicyWorld world = new PolicyWorld(n < 5 ? 3 : 5, n, seed, Ways.USUAL, Long.MAX_VALUE / 4);
            world.net().run(SECOND, () -> {});
            world.begin();
            while (world.leader() < 0 || !world.isHeld(0)) {
                world.net().run(SECOND, () -> {});
            }
            begun.add((world.net().now() - MembersWorld.BEGIN) / 1e9);
            world.net().run(4 * SECOND, () -> {});
            if (one == Case.LOSS_20) {
                world.net().ways(Ways.USUAL.losing(0.2));
            } else if (one == Case.ONE_DOWN) {
                world.kill(n - 1);
                world.net().run(4 * SECOND, () -> {});
            }
            world.forgetMixed();
            long begins = world.net().now();
            long cpu = threads.getCurrentThreadCpuTime();
            long[] before = {world.datagrams(), world.bytes(), world.refused()};
            long[] datagramsBefore = world.datagramsOfEach();
            long[] bytesBefore = world.bytesOfEach();
            for (int i = 1; i <= CHANGES; i++) {
                long asked = world.net().now();
                Version version = world.propose(
                        one == Case.ONE_DOWN ? n - 2 : n - 1,
                        "change-" + i,
                        "document " + i + "x".repeat(2_000),
                        true,
                        0);
                int killed = -1;
                int wanted = i;
                while (!world.isHeld(wanted) && world.net().now() - asked < MOST) {
                    world.net().run(10 * MILLI, () -> {});
                    if (one == Case.LEADER_KILLED
                            && killed < 0
                            && world.leader() >= 0
                            && world.net().now() - asked > 100 * MILLI) {
                        killed = world.leader();
                        world.kill(killed);
                    }
                }
                synchronized (times) {
                    times.recordValue((world.net().now() - asked) / MILLI);
                }
                if (killed >= 0) {
                    world.start(killed);
                }
                world.net().run(3 * SECOND, () -> {});
                if (version == null) {
                    throw new IllegalStateException("the proposer is down");
                }
            }
            double seconds = (world.net().now() - begins) / 1e9;
            core.add((threads.getCurrentThreadCpuTime() - cpu) / 1e9 / seconds / n * 100);
            synchronized (sums) {
                sums.add(new long[] {
                    world.longestMixed(),
                    (long) ((world.refused() - before[2]) * 1e4 / (200 * n * seconds)),
                    (long) ((world.datagrams() - before[0]) / seconds / n * 10),
                    (long) ((world.bytes() - before[1]) / seconds / n),
                    (long) (mostMore(datagramsBefore, world.datagramsOfEach()) / seconds * 10),
                    (long) (mostMore(bytesBefore, world.bytesOfEach()) / seconds)
                });
            }
        });
        double many = sums.size();
        return new Found(
                times.getValueAtPercentile(50) / 1e3,
                times.getValueAtPercentile(99) / 1e3,
                sums.stream().mapToLong(s -> s[0]).max().orElse(0) / MILLI,
                sums.stream().mapToLong(s -> s[1]).sum() / many / 100,
                sums.stream().mapToLong(s -> s[2]).sum() / many / 10,
                sums.stream().mapToLong(s -> s[3]).sum() / many,
                sums.stream().mapToLong(s -> s[4]).max().orElse(0) / 10.0,
                sums.stream().mapToLong(s -> s[5]).max().orElse(0),
                core.sum() / many,
                begun.sum() / many);
    }
}
