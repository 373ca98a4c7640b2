package slateseam.simulate.tier;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.HdrHistogram.Histogram;
import slateseam.simulate.tier.MembersWorld.Seen;
import slateseam.simulate.tier.MembersWorld.Ways;
import slateseam.tier.members.Change.Kind;
import slateseam.tier.members.Traffic;

/** What membership costs and how fast and how wrong it is, for one number of members. */
final class MembersFigures {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final long SETTLE = 5 * SECOND;
    /** Until the news of so many that joined at once has been told often enough. */
    private static final long CALM = 60 * SECOND;

    private final int members;
    private final long from;
    private final long to;

    MembersFigures(int members, long from, long to) {
        this.members = members;
        this.from = from;
        this.to = to;
    }

    private MembersWorld world(long seed, Ways ways) {
        MembersWorld world = new MembersWorld(members, seed, ways, UnaryOperator.identity());
        IntStream.range(0, members).forEach(world::start);
        world.run(SETTLE);
        return world;
    }

    /** Seconds from a death until half, 99% and all of the others know it; each the median and the 99th percentile over seeds. */
    String deaths(Ways ways, int deathsASeed) {
        List<Histogram> histograms = List.of(histogram(), histogram(), histogram());
        LongStream.rangeClosed(from, to).parallel().forEach(seed -> {
            MembersWorld world = world(seed, ways);
            for (int i = 0; i < deathsASeed; i++) {
                int dead = new SplittableRandom(seed * 31 + i).nextInt(members);
                int before = world.seen().size();
                long death = world.now();
                world.kill(dead);
                world.run(8 * SECOND);
                long[] known = world.seen().subList(before, world.seen().size()).stream()
                        .filter(one -> one.change().kind() == Kind.FAILED
                                && one.change().member().equals(MembersWorld.name(dead)))
                        .mapToLong(one -> one.at() - death)
                        .sorted()
                        .toArray();
                int others = members - 1;
                record(histograms.get(0), known, (others + 1) / 2);
                record(histograms.get(1), known, (int) Math.ceil(0.99 * others));
                record(histograms.get(2), known, others);
                world.start(dead);
                world.run(SETTLE);
            }
        });
        List<String> cells = new ArrayList<>();
        for (Histogram one : histograms) {
            cells.add(String.format(
                    Locale.ROOT,
                    "%.2f / %.2f",
                    one.getValueAtPercentile(50) / 1e3,
                    one.getValueAtPercentile(99) / 1e3));
        }
        return String.join(" | ", cells);
    }

    private static Histogram histogram() {
        return new Histogram(3);
    }

    /** In milliseconds; one that never came to so many counts as a minute. */
    private static void record(Histogram histogram, long[] sorted, int which) {
        synchronized (histogram) {
            histogram.recordValue(sorted.length < which ? 60_000 : sorted[which - 1] / MILLI);
        }
    }

    /** Suspicions and failures that were wrong, a member and hour, while a part of the members is paused at random if asked for. */
    String wrong(Ways ways, double paused, long minutes) {
        long[] sums = new long[2];
        LongStream.rangeClosed(from, to).parallel().forEach(seed -> {
            MembersWorld world = world(seed, ways);
            SplittableRandom random = new SplittableRandom(seed);
            Set<Integer> asleep = new HashSet<>();
            world.run(CALM);
            world.seen().clear();
            long suspicions = 0;
            long failures = 0;
            for (long second = 0; second < minutes * 60; second++) {
                // Each second some fall asleep for a second, so that this part is asleep at any time.
                List.copyOf(asleep).forEach(i -> world.pause(i, false));
                asleep.clear();
                for (int i = 0; i < members && paused > 0; i++) {
                    if (random.nextDouble() < paused) {
                        asleep.add(i);
                        world.pause(i, true);
                    }
                }
                world.run(SECOND);
                for (Seen one : world.seen()) {
                    suspicions += one.change().kind() == Kind.SUSPECTED
                                    && one.change().why().contains(" by=" + MembersWorld.name(one.by()) + " ")
                            ? 1
                            : 0;
                    failures += one.change().kind() == Kind.FAILED ? 1 : 0;
                }
                world.seen().clear();
            }
            synchronized (sums) {
                sums[0] += suspicions;
                sums[1] += failures;
            }
        });
        double hours = members * (to - from + 1) * minutes / 60.0;
        return String.format(
                Locale.ROOT, "%.4f | %.4f (of %.0f member-hours)", sums[0] / hours, sums[1] / hours, hours);
    }

    /** Datagrams and bytes that a member sends, a second, and processor time a datagram and as a part of a core. */
    String load(Ways ways) {
        MembersWorld world = world(from, ways);
        world.run(CALM);
        double datagrams = -sum(world, Traffic.SENT);
        double bytes = -sum(world, Traffic.SENT_BYTES);
        world.run(20 * SECOND);
        datagrams = (datagrams + sum(world, Traffic.SENT)) / members / 20;
        bytes = (bytes + sum(world, Traffic.SENT_BYTES)) / members / 20;
        double nanos = world.nanosADatagram();
        return String.format(
                Locale.ROOT, "%.1f | %.0f | %.1f us | %.3f%%", datagrams, bytes, nanos / 1e3, nanos * datagrams / 1e7);
    }

    private double sum(MembersWorld world, Traffic what) {
        return IntStream.range(0, members)
                .mapToLong(i -> world.members(i).count(what))
                .sum();
    }

    /** Seconds from the end of a cut of 20 s between two parts until all have one view and none doubts; the median and the most. */
    String healed() {
        long[] times = LongStream.rangeClosed(from, to)
                .parallel()
                .map(seed -> {
                    MembersWorld world = world(seed, Ways.USUAL);
                    int fewer = Math.max(1, members * 2 / 5);
                    world.halve(fewer, true);
                    world.run(20 * SECOND);
                    world.halve(fewer, false);
                    long healed = world.now();
                    while (world.now() - healed < 60 * SECOND && !isOne(world)) {
                        world.run(50 * MILLI);
                    }
                    return isOne(world) ? (world.now() - healed) / MILLI : 60_000;
                })
                .sorted()
                .toArray();
        return String.format(Locale.ROOT, "%.2f / %.2f", times[times.length / 2] / 1e3, times[times.length - 1] / 1e3);
    }

    /** Whether all that are up see all that are up, alike. */
    static boolean isOne(MembersWorld world) {
        int[] up = IntStream.range(0, world.size())
                .filter(i -> world.members(i) != null)
                .toArray();
        int digest = world.members(up[0]).digest();
        return Arrays.stream(up)
                .allMatch(i ->
                        world.members(i).digest() == digest && world.members(i).present() == up.length);
    }
}
