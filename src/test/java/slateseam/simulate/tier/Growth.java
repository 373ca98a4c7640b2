package slateseam.simulate.tier;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.IntFunction;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import slateseam.Census;
import slateseam.simulate.tier.MembersWorld.Ways;
import slateseam.tier.members.Change.Kind;
import slateseam.tier.members.Traffic;

/**
 * What control costs a router at several numbers of routers, on the virtual clock, and whether it grows with that number. The same
 * figures on any machine. A figure of the largest tier may be so many times that of the smallest, and no higher than a bound; both
 * have a wide margin over what is measured.
 */
final class Growth {
    private static final long SECOND = 1_000_000_000L;
    /** In none of them does everybody watch everybody. */
    private static final int[] MEMBERS_SIZES = {12, 48};

    private static final int[] POLICY_SIZES = {16, 64};
    /** Until the news of so many that joined at once has been told often enough. */
    private static final long SETTLE = 10 * SECOND;

    private static final long WINDOW = 6 * SECOND;
    private static final int VOTERS = 5;
    private static final String[] OWN = {"slateseam.tier."};

    /**
     * A figure with its bounds.
     *
     * @param name one word
     * @param mostGrowth from the smallest tier to the largest, as a factor
     * @param most at any size
     */
    private record Bound(String name, double mostGrowth, double most) {}

    private static final List<Bound> MEMBERS = List.of(
            new Bound("MEMBERS_DATAGRAMS", 1.25, 60),
            new Bound("MEMBERS_BYTES", 1.4, 4_000),
            new Bound("MEMBERS_STATE", 1.4, 10),
            new Bound("DEATH_DATAGRAMS", 1.4, 70),
            new Bound("DEATH_SECONDS", 1.4, 3));
    private static final List<Bound> POLICY = List.of(
            new Bound("POLICY_DATAGRAMS", 1.4, 45),
            new Bound("POLICY_BYTES", 1.4, 3_500),
            new Bound("POLICY_MOST_DATAGRAMS", 1.6, 250),
            new Bound("POLICY_STATE", 1.4, 30));

    private Growth() {}

    /** A line for each figure of membership that breaks a bound, with the figure's name first; empty if none does. */
    static String brokenMembers(long seed, long unused) {
        return broken(MEMBERS, MEMBERS_SIZES, routers -> members(routers, seed));
    }

    /** The same of the shared policy. */
    static String brokenPolicy(long seed, long unused) {
        return broken(POLICY, POLICY_SIZES, routers -> policy(routers, seed));
    }

    private static String broken(List<Bound> bounds, int[] sizes, IntFunction<List<Double>> measured) {
        List<List<Double>> bySize = Arrays.stream(sizes).mapToObj(measured).toList();
        StringBuilder broken = new StringBuilder();
        for (int i = 0; i < bounds.size(); i++) {
            int figure = i;
            Bound bound = bounds.get(i);
            List<Double> figures = bySize.stream().map(all -> all.get(figure)).toList();
            double growth = figures.get(sizes.length - 1) / figures.get(0);
            if (!(growth <= bound.mostGrowth()) || figures.stream().anyMatch(one -> one > bound.most())) {
                broken.append(String.format(
                        Locale.ROOT,
                        "%s at %s routers: %s; grows %.2f times, at most %.2f; bound %.1f%n",
                        bound.name(),
                        Arrays.toString(sizes),
                        figures,
                        growth,
                        bound.mostGrowth(),
                        bound.most()));
            }
        }
        return broken.toString();
    }

    /** In calm: datagrams and bytes a router and second, entries kept a router and member; while one dies: datagrams, and until 99% know. */
    private static List<Double> members(int members, long seed) {
        MembersWorld world = new MembersWorld(members, seed, Ways.USUAL, UnaryOperator.identity());
        IntStream.range(0, members).forEach(world::start);
        world.run(SETTLE);
        double datagrams = sum(world, Traffic.SENT);
        double bytes = sum(world, Traffic.SENT_BYTES);
        world.run(WINDOW);
        double each = members * (WINDOW / 1e9);
        datagrams = (sum(world, Traffic.SENT) - datagrams) / each;
        bytes = (sum(world, Traffic.SENT_BYTES) - bytes) / each;
        double state = entries(world.members(members / 2)) / members;
        int dead = members - 1;
        int before = world.seen().size();
        long death = world.now();
        double sentByOthers = sum(world, Traffic.SENT) - world.members(dead).count(Traffic.SENT);
        world.kill(dead);
        world.run(WINDOW);
        double duringDeath = (sum(world, Traffic.SENT) - sentByOthers) / each;
        long[] known = world.seen().subList(before, world.seen().size()).stream()
                .filter(one -> one.change().kind() == Kind.FAILED
                        && one.change().member().equals(MembersWorld.name(dead)))
                .mapToLong(one -> one.at() - death)
                .sorted()
                .toArray();
        int most = (int) Math.ceil(0.99 * (members - 1));
        double seconds = known.length < most ? Double.POSITIVE_INFINITY : known[most - 1] / 1e9;
        return List.of(datagrams, bytes, state, duringDeath, seconds);
    }

    private static double sum(MembersWorld world, Traffic what) {
        return IntStream.range(0, world.size())
                .mapToObj(world::members)
                .filter(one -> one != null)
                .mapToLong(one -> one.count(what))
                .sum();
    }

    /** In calm: datagrams and bytes a router and second, datagrams of the router that sends most, entries kept a router and member. */
    private static List<Double> policy(int routers, long seed) {
        PolicyWorld world = new PolicyWorld(VOTERS, routers, seed, Ways.USUAL, Long.MAX_VALUE / 4);
        world.net().run(SECOND, () -> {});
        world.begin();
        for (int waited = 0; waited < 60 && (world.leader() < 0 || !world.isHeld(0)); waited++) {
            world.net().run(SECOND, () -> {});
        }
        world.net().run(4 * SECOND, () -> {});
        long datagrams = world.datagrams();
        long bytes = world.bytes();
        long[] before = world.datagramsOfEach();
        world.net().run(WINDOW, () -> {});
        double seconds = WINDOW / 1e9;
        long[] after = world.datagramsOfEach();
        double most = IntStream.range(0, routers)
                        .mapToLong(i -> after[i] - before[i])
                        .max()
                        .orElse(0)
                / seconds;
        return List.of(
                (world.datagrams() - datagrams) / seconds / routers,
                (world.bytes() - bytes) / seconds / routers,
                most,
                entries(world.policy(routers / 2)) / routers);
    }

    /** All entries of all tables that are reached from a module; the list of peers, which its settings tell, among them. */
    private static double entries(Object module) {
        return Census.of(module, OWN).values().stream()
                .mapToLong(entries -> entries)
                .sum();
    }
}
