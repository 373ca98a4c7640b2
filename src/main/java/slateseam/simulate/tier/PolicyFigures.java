package slateseam.simulate.tier;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
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

    /** What goes wrong meanwhile. */
    private enum Case {
        CALM,
        LOSS_20,
        ONE_DOWN,
        LEADER_KILLED
    }

    private PolicyFigures() {}

    /** A row for each number of routers and case. */
    public static void run(int[] routers, long from, long to, Consumer<String> rows) {
        rows.accept(
                "| routers | case | propose to held everywhere s, 50 / 99% | two versions at once ms, most | refused % | datagrams, bytes a router and second |");
        for (int n : routers) {
            for (Case one : Case.values()) {
                rows.accept("| " + n + " | "
                        + one.name().toLowerCase(Locale.ROOT).replace('_', ' ') + " | " + row(n, one, from, to) + " |");
            }
        }
    }

    private static String row(int n, Case one, long from, long to) {
        Histogram times = new Histogram(3);
        List<long[]> sums = new ArrayList<>();
        LongStream.rangeClosed(from, to).parallel().forEach(seed -> {
            PolicyWorld world = new PolicyWorld(n < 5 ? 3 : 5, n, seed, Ways.USUAL, Long.MAX_VALUE / 4);
            world.net().run(SECOND, () -> {});
            world.begin();
            while (world.leader() < 0 || !world.isHeld(0)) {
                world.net().run(SECOND, () -> {});
            }
            world.net().run(4 * SECOND, () -> {});
            if (one == Case.LOSS_20) {
                world.net().ways(Ways.USUAL.losing(0.2));
            } else if (one == Case.ONE_DOWN) {
                world.kill(n - 1);
                world.net().run(4 * SECOND, () -> {});
            }
            world.forgetMixed();
            long begins = world.net().now();
            long[] before = {world.datagrams(), world.bytes(), world.refused()};
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
            synchronized (sums) {
                sums.add(new long[] {
                    world.longestMixed(),
                    (long) ((world.refused() - before[2]) * 1e4 / (200 * n * seconds)),
                    (long) ((world.datagrams() - before[0]) / seconds / n * 10),
                    (long) ((world.bytes() - before[1]) / seconds / n)
                });
            }
        });
        double many = sums.size();
        return String.format(
                Locale.ROOT,
                "%.2f / %.2f | %d | %.2f | %.1f, %.0f",
                times.getValueAtPercentile(50) / 1e3,
                times.getValueAtPercentile(99) / 1e3,
                sums.stream().mapToLong(s -> s[0]).max().orElse(0) / MILLI,
                sums.stream().mapToLong(s -> s[1]).sum() / many / 100,
                sums.stream().mapToLong(s -> s[2]).sum() / many / 10,
                sums.stream().mapToLong(s -> s[3]).sum() / many);
    }
}
