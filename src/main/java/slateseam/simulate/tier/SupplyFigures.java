package slateseam.simulate.tier;

import java.util.Arrays;
import java.util.Locale;
import java.util.function.Consumer;
import slateseam.simulate.tier.MembersWorld.Ways;
import slateseam.simulate.tier.SupplyWorld.Maker;

/**
 * How long supply takes to follow a shift of demand: all routers begin with an even part and even demand, together nine
 * tenths of what the origin can do; then a tenth of them, one behind the other, is asked for half of all.
 */
public final class SupplyFigures {
    private static final long SECOND = 1_000_000_000L;
    private static final long SETTLE = 5 * SECOND;
    private static final int[] LOOKS = {1, 2, 5, 10, 20, 40};
    private static final double ASKED_PART = 0.9;
    private static final double HOT_PART = 0.1;
    private static final double HOT_DEMAND = 0.5;

    private SupplyFigures() {}

    /** Prints a row for each number of routers. */
    public static void run(int[] routers, long seed, double loss, Maker maker, Consumer<String> rows) {
        rows.accept(
                "| routers | imbalance | left after " + Arrays.toString(LOOKS)
                        + " s | half after s | tenth after s | turned away 0-10, 10-20, 20-40 s"
                        + " | origin used, last 20 s | learned budget by what the origin can do | datagrams/s | bytes/s | total, least and most | us of a core a router and s |");
        for (int n : routers) {
            rows.accept(row(n, seed, loss, maker));
        }
    }

    private static String row(int n, long seed, double loss, Maker maker) {
        SupplyWorld world = new SupplyWorld(n, seed, Ways.USUAL.losing(loss), maker);
        double all = n * SupplyWorld.CAPACITY * ASKED_PART;
        for (int i = 0; i < n; i++) {
            world.demand(i, all / n);
        }
        world.startAll();
        world.run(SETTLE);
        int hot = Math.max(1, (int) (n * HOT_PART));
        for (int i = 0; i < n; i++) {
            world.demand(i, i < hot ? all * HOT_DEMAND / hot : all * (1 - HOT_DEMAND) / (n - hot));
        }
        double first = world.imbalance();
        Course course = new Course(world, first);
        long began = System.nanoTime();
        for (int second = 1; second <= LOOKS[LOOKS.length - 1]; second++) {
            course.second(second);
        }
        double cpu = (System.nanoTime() - began) / 1e3 / n / LOOKS[LOOKS.length - 1];
        return String.format(
                Locale.ROOT,
                "| %d | %.2f | %s | %s | %s | %s | %.2f | %.2f | %.1f | %.0f | %.3f, %.3f | %.0f |",
                n,
                first,
                course.left,
                course.half(),
                course.tenth(),
                course.refused,
                course.originUsed,
                world.learned(),
                course.datagrams / n,
                course.bytes / n,
                course.least,
                course.most,
                cpu);
    }

    /** What is seen second by second. */
    private static final class Course {
        private static final int STEPS = 10;
        final SupplyWorld world;
        final double first;
        final StringBuilder left = new StringBuilder();
        final StringBuilder refused = new StringBuilder();
        double half = Double.NaN;
        double tenth = Double.NaN;
        double least = Double.MAX_VALUE;
        double most;
        double originUsed;
        double datagrams;
        double bytes;
        private long asked;
        private long turned;
        private long served;

        Course(SupplyWorld world, double first) {
            this.world = world;
            this.first = first;
        }

        void second(int second) {
            world.clearTally();
            for (int step = 1; step <= STEPS; step++) {
                world.run(SECOND / STEPS);
                double part = world.imbalance() / first;
                double time = second - 1 + (double) step / STEPS;
                half = Double.isNaN(half) && part <= 0.5 ? time : half;
                tenth = Double.isNaN(tenth) && part <= 0.1 ? time : tenth;
                least = Math.min(least, world.owned());
                most = Math.max(most, world.owned());
            }
            asked += world.tally().asked;
            turned += world.tally().refused;
            served += world.tally().served;
            int last = LOOKS[LOOKS.length - 1];
            datagrams += (double) world.tally().datagrams / last;
            bytes += (double) world.tally().bytes / last;
            if (Arrays.stream(LOOKS).anyMatch(look -> look == second)) {
                left.append(String.format(
                        Locale.ROOT, "%s%.0f%%", left.length() == 0 ? "" : ", ", 100 * world.imbalance() / first));
            }
            if (second == 10 || second == 20 || second == last) {
                refused.append(String.format(
                        Locale.ROOT, "%s%.1f%%", refused.length() == 0 ? "" : ", ", 100.0 * turned / asked));
                originUsed = served / (SupplyWorld.CAPACITY * world.size() * (second == last ? last - 20 : 10));
                asked = 0;
                turned = 0;
                served = 0;
            }
        }

        String half() {
            return shown(half);
        }

        String tenth() {
            return shown(tenth);
        }

        private static String shown(double seconds) {
            return Double.isNaN(seconds) ? "not in 40" : String.format(Locale.ROOT, "%.1f", seconds);
        }
    }
}
