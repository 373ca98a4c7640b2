package slateseam.simulate.tier;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import slateseam.simulate.tier.MembersWorld.Ways;
import slateseam.tier.members.Change.Kind;
import slateseam.tier.members.Traffic;

/**
 * How membership's costs and times grow with the number of members. All is played on the calling thread, whose processor time is what
 * is told: it includes the virtual network's own, so that it is no less than a member's.
 */
public final class MembersSlopes {
    private static final long SECOND = 1_000_000_000L;
    private static final long LOOK = SECOND / 10;
    private static final long MOST_JOINING = 120 * SECOND;
    /** Until the news of those that joined has been told often enough. */
    private static final long CALM = 10 * SECOND;

    private static final int MEASURED_SECONDS = 10;
    private static final long MOST_DEATH = 8 * SECOND;
    private static final int DEATHS = 3;
    /** With more members each death takes long to play. */
    private static final int MOST_OFTEN = 400;
    /** More bytes a member and second tell that the news of the start is still on its way; it takes minutes where there are many. */
    private static final double CALM_BYTES = 2_400;

    private static final long MOST_CALMING = 120 * SECOND;
    private static final double LOSS = 0.2;
    /** So that the small sizes are not measured before the code is compiled. */
    private static final int WARM_UP_MEMBERS = 50;

    /** What is measured, a member. */
    enum Figure {
        ALL_JOIN("all start at once: one view after s"),
        WAKE_BYTES("bytes sent a second, 10 s after that"),
        WAKE_CPU("of a core %, 10 s after that"),
        CALMED("that is told to all after s"),
        DATAGRAMS("datagrams sent a second, calm"),
        BYTES("bytes sent a second, calm"),
        CPU("of a core %, calm"),
        HEAP("heap KB"),
        DEATH_HALF("a death: half know it after s"),
        DEATH_MOST("a death: 99% know it after s"),
        DEATH_ALL("a death: all know it after s"),
        DEATH_CPU("of a core %, the 8 s of a death"),
        JOIN_MOST("a start: 99% know it after s"),
        JOIN_ALL("a start: all know it after s"),
        LOSS_DATAGRAMS("datagrams sent a second, 20% lost"),
        LOSS_BYTES("bytes sent a second, 20% lost"),
        LOSS_CPU("of a core %, 20% lost"),
        LOSS_DEATH_MOST("a death, 20% lost: 99% know it after s"),
        LOSS_DEATH_ALL("a death, 20% lost: all know it after s"),
        LOSS_JOIN_ALL("a start, 20% lost: all know it after s");

        private final String text;

        Figure(String text) {
            this.text = text;
        }
    }

    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final int members;
    private final Map<Figure, List<Double>> found = new EnumMap<>(Figure.class);

    private MembersSlopes(int members) {
        this.members = members;
    }

    /** A row for each figure: at each size, the fit where there are sizes enough, and what it comes to at a size. */
    public static void run(int[] sizes, long from, long to, int at, Consumer<String> rows) {
        new MembersSlopes(WARM_UP_MEMBERS).play(from);
        List<MembersSlopes> all = new ArrayList<>();
        for (int size : sizes) {
            MembersSlopes one = new MembersSlopes(size);
            for (long seed = from; seed <= to; seed++) {
                one.play(seed);
            }
            all.add(one);
            rows.accept("# " + size + " members played");
        }
        rows.accept("| a member | "
                + String.join(
                        " | ", Arrays.stream(sizes).mapToObj(String::valueOf).toList()) + " |"
                + Slope.headings(sizes, at));
        for (Figure figure : Figure.values()) {
            double[] figures =
                    all.stream().mapToDouble(one -> one.median(figure)).toArray();
            StringBuilder row = new StringBuilder("| ").append(figure.text).append(" | ");
            for (double value : figures) {
                row.append(String.format(Locale.ROOT, "%.4g | ", value));
            }
            rows.accept(row + Slope.text(sizes, figures, at));
        }
    }

    private double median(Figure figure) {
        List<Double> values =
                found.getOrDefault(figure, List.of()).stream().sorted().toList();
        return values.isEmpty() ? Double.NaN : values.get((values.size() - 1) / 2);
    }

    private void add(Figure figure, double value) {
        found.computeIfAbsent(figure, x -> new ArrayList<>()).add(value);
    }

    private void play(long seed) {
        long heapBefore = heap();
        MembersWorld world = new MembersWorld(members, seed, Ways.USUAL, UnaryOperator.identity());
        IntStream.range(0, members).forEach(world::start);
        add(Figure.ALL_JOIN, untilOne(world));
        world.run(CALM);
        steady(world, null, Figure.WAKE_BYTES, Figure.WAKE_CPU);
        calmed(world);
        world.seen().clear();
        add(Figure.HEAP, (heap() - heapBefore) / 1e3 / members);
        SplittableRandom random = new SplittableRandom(seed);
        int deaths = members > MOST_OFTEN ? 1 : DEATHS;
        for (int i = 0; i < deaths; i++) {
            int dead = random.nextInt(members);
            long cpu = threads.getCurrentThreadCpuTime();
            long[] known = known(world, dead, Kind.FAILED, () -> world.kill(dead));
            add(Figure.DEATH_CPU, 100.0 * (threads.getCurrentThreadCpuTime() - cpu) / MOST_DEATH / members);
            add(Figure.DEATH_HALF, at(known, 0.5));
            add(Figure.DEATH_MOST, at(known, 0.99));
            add(Figure.DEATH_ALL, at(known, 1));
            long[] learned = known(world, dead, Kind.JOINED, () -> world.start(dead));
            add(Figure.JOIN_MOST, at(learned, 0.99));
            add(Figure.JOIN_ALL, at(learned, 1));
            world.run(CALM);
        }
        world.ways(Ways.USUAL.losing(LOSS));
        world.run(CALM);
        steady(world, Figure.LOSS_DATAGRAMS, Figure.LOSS_BYTES, Figure.LOSS_CPU);
        for (int i = 0; i < deaths; i++) {
            int dead = random.nextInt(members);
            long[] known = known(world, dead, Kind.FAILED, () -> world.kill(dead));
            add(Figure.LOSS_DEATH_MOST, at(known, 0.99));
            add(Figure.LOSS_DEATH_ALL, at(known, 1));
            add(Figure.LOSS_JOIN_ALL, at(known(world, dead, Kind.JOINED, () -> world.start(dead)), 1));
            world.run(CALM);
        }
    }

    private static long heap() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private static double untilOne(MembersWorld world) {
        long began = world.now();
        while (!MembersFigures.isOne(world) && world.now() - began < MOST_JOINING) {
            world.run(LOOK);
        }
        return (world.now() - began) / 1e9;
    }

    private void steady(MembersWorld world, Figure datagrams, Figure bytes, Figure cpu) {
        double sent = sum(world, Traffic.SENT);
        double sentBytes = sum(world, Traffic.SENT_BYTES);
        long began = threads.getCurrentThreadCpuTime();
        world.run(MEASURED_SECONDS * SECOND);
        double memberSeconds = (double) members * MEASURED_SECONDS;
        add(cpu, 100 * (threads.getCurrentThreadCpuTime() - began) / 1e9 / memberSeconds);
        if (datagrams != null) {
            add(datagrams, (sum(world, Traffic.SENT) - sent) / memberSeconds);
        }
        add(bytes, (sum(world, Traffic.SENT_BYTES) - sentBytes) / memberSeconds);
    }

    private void calmed(MembersWorld world) {
        long began = world.now();
        double bytes = Double.MAX_VALUE;
        while (members <= MOST_OFTEN && bytes > CALM_BYTES && world.now() - began < MOST_CALMING) {
            double before = sum(world, Traffic.SENT_BYTES);
            world.run(CALM);
            bytes = (sum(world, Traffic.SENT_BYTES) - before) / members / (CALM / SECOND);
        }
        if (bytes <= CALM_BYTES) {
            add(Figure.CALMED, (world.now() - began) / 1e9);
            steady(world, Figure.DATAGRAMS, Figure.BYTES, Figure.CPU);
        }
    }

    private double sum(MembersWorld world, Traffic what) {
        return IntStream.range(0, members)
                .filter(i -> world.members(i) != null)
                .mapToLong(i -> world.members(i).count(what))
                .sum();
    }

    /** When each of the others knew of something, in nanoseconds after it, the first first. */
    private static long[] known(MembersWorld world, int one, Kind kind, Runnable happens) {
        world.seen().clear();
        long began = world.now();
        happens.run();
        world.run(MOST_DEATH);
        return world.seen().stream()
                .filter(seen -> seen.by() != one
                        && seen.change().kind() == kind
                        && seen.change().member().equals(MembersWorld.name(one)))
                .mapToLong(seen -> seen.at() - began)
                .sorted()
                .toArray();
    }

    /** When a part of the others knew it, in seconds; not a number if it was not seen in time. */
    private double at(long[] known, double part) {
        int which = (int) Math.ceil(part * (members - 1));
        return known.length < which ? Double.NaN : known[which - 1] / 1e9;
    }
}
