package slateseam.simulate.tier;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import slateseam.decision.Brain;
import slateseam.decision.SupplyLinks;
import slateseam.simulate.tier.MembersWorld.Ways;
import slateseam.simulate.tier.SupplyWorld.Maker;

/** Tests the exchange of supply over links with one kind of fault at a time. */
class SupplyHardCasesTest {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final Maker WITHOUT_LINKS = Brain::new;
    private static final Maker WITH_LINKS =
            (settings, seed) -> new Brain(settings, seed, new SupplyLinks(true, SECOND / 2));
    /** Tolerance for rounding, as a fraction of the budget. */
    private static final double ROUNDING_TOLERANCE = 1e-6;
    /** Fraction of the budget that may be in transit while demand varies by chance. */
    private static final double MAX_IN_TRANSIT = 0.1;

    /** Starts routers of which the first has so much more demand that much of the others' supply has moved to it. */
    private static SupplyWorld startUneven(int routers, Ways ways) {
        SupplyWorld world = new SupplyWorld(routers, 1, ways, WITH_LINKS);
        IntStream.range(0, routers).forEach(i -> world.demand(i, i == 0 ? 20.0 * routers : 10));
        world.startAll();
        run(world, 15 * SECOND);
        assertThat(world.holding(0).own()).isGreaterThan(2.0 / routers);
        return world;
    }

    /** Runs the simulation; at no step may all routers together own more than the budget. */
    private static void run(SupplyWorld world, long nanos) {
        world.run(nanos, () -> assertThat(world.owned()).isLessThan(1 + ROUNDING_TOLERANCE));
    }

    /** Ends all demand; the supply must then be complete, and both ends of each ledger must report the same totals. */
    private static void assertCompleteAtTheEnd(SupplyWorld world) {
        IntStream.range(0, world.size()).forEach(i -> world.demand(i, 0));
        run(world, 20 * SECOND);
        assertThat(world.owned()).isBetween(1 - MAX_IN_TRANSIT, 1 + ROUNDING_TOLERANCE);
        assertThat(world.used()).isBetween(1 - MAX_IN_TRANSIT, 1 + ROUNDING_TOLERANCE);
        assertThat(world.books().differences(1 << 17)).isEmpty();
    }

    private static double remainingImbalance(int routers, Maker maker, long nanos) {
        SupplyWorld world = new SupplyWorld(routers, 1, Ways.USUAL, maker);
        IntStream.range(0, routers).forEach(i -> world.demand(i, 30));
        world.startAll();
        world.run(3 * SECOND);
        IntStream.range(0, routers).forEach(i -> world.demand(i, i < routers / 10 ? 150 : 30 * 5.0 / 9));
        double first = world.imbalance();
        world.run(nanos);
        return world.imbalance() / first;
    }

    /** Half of an imbalance crosses sixty routers within 6 s; along the ring alone most of it remains. */
    @Test
    void supplyCrossesTheTierInAFewSteps() {
        assertThat(remainingImbalance(60, WITH_LINKS, 6 * SECOND)).isLessThan(0.5);
        assertThat(remainingImbalance(60, WITHOUT_LINKS, 6 * SECOND)).isGreaterThan(0.75);
    }

    @Test
    void linkTrafficFitsTheControlBudget() {
        SupplyWorld world = new SupplyWorld(128, 1, Ways.USUAL, WITH_LINKS);
        IntStream.range(0, world.size()).forEach(i -> world.demand(i, 10));
        world.startAll();
        world.run(3 * SECOND);
        world.clearTally();
        world.run(5 * SECOND);
        // Twelve links twice a second and two ring neighbours up to four times a second; each end sends half of the
        // messages.
        assertThat(world.tally().datagrams / 5.0 / world.size()).isLessThan(12 * 2 + 2 * 4 + 4);
        assertThat(world.tally().bytes / 5.0 / world.size()).isLessThan(5_000);
    }

    @Test
    void partnerLostDuringTransfersNeitherLosesNorCreatesSupply() {
        SupplyWorld world = new SupplyWorld(12, 2, Ways.USUAL, WITH_LINKS);
        IntStream.range(0, 12).forEach(i -> world.demand(i, i == 0 ? 240 : 10));
        world.startAll();
        run(world, 2 * SECOND); // transfers are in transit on all links of the first router
        world.kill(4);
        run(world, SECOND);
        world.kill(8);
        run(world, 5 * SECOND);
        world.start(4);
        world.start(8);
        run(world, 3 * SECOND);
        assertCompleteAtTheEnd(world);
    }

    /**
     * A router that has given away most of its supply restarts within a partition where it hears only its ring
     * successor: it must use what is left and no more.
     */
    @Test
    void aRestartBehindACutUsesNothingThatItGaveAway() {
        SupplyWorld world = startUneven(12, Ways.USUAL);
        double left = world.holding(4).own();
        assertThat(left).isLessThan(0.8 / 12);
        cutOffFromAllBut(world, 4, 5, true);
        world.kill(4);
        run(world, 300 * MILLI);
        world.start(4);
        run(world, 3 * SECOND);
        assertThat(world.holding(4).joined()).isTrue();
        cutOffFromAllBut(world, 4, 5, false);
        run(world, 5 * SECOND);
        assertCompleteAtTheEnd(world);
    }

    /** The same for a router that hears nobody at all: it must use nothing, as it does not know its supply. */
    @Test
    void aRestartThatHearsNobodyUsesNothingForAMinute() {
        SupplyWorld world = startUneven(12, Ways.USUAL);
        cutOffFromAllBut(world, 4, 4, true);
        world.kill(4);
        run(world, 300 * MILLI);
        world.start(4);
        run(world, 50 * SECOND);
        assertThat(world.holding(4).usable()).isLessThan(ROUNDING_TOLERANCE);
        cutOffFromAllBut(world, 4, 4, false);
        run(world, 5 * SECOND);
        assertThat(world.holding(4).usable()).isPositive();
        assertCompleteAtTheEnd(world);
    }

    private static void cutOffFromAllBut(SupplyWorld world, int router, int reachable, boolean on) {
        for (int other = 0; other < world.size(); other++) {
            if (other != router && other != reachable) {
                world.net().cut(router, other, on);
                world.net().cut(other, router, on);
            }
        }
    }

    @Test
    void halvesPartitionedForAMinuteKeepTheirLedgers() {
        SupplyWorld world = startUneven(12, Ways.USUAL);
        world.net().halve(5, 12, true);
        run(world, 60 * SECOND);
        world.net().halve(5, 12, false);
        run(world, 5 * SECOND);
        assertCompleteAtTheEnd(world);
    }

    @Test
    void wholeRegionReturnsAfterAnHour() {
        SupplyWorld world = startUneven(8, Ways.USUAL);
        IntStream.range(0, 8).forEach(i -> world.demand(i, 0));
        IntStream.range(3, 8).forEach(world::kill);
        run(world, 3_600 * SECOND);
        IntStream.range(3, 8).forEach(world::start);
        run(world, 12 * SECOND);
        assertCompleteAtTheEnd(world);
    }

    @Test
    void allRoutersRestartWithoutState() {
        SupplyWorld world = startUneven(12, Ways.USUAL);
        IntStream.range(0, 12).forEach(world::kill);
        run(world, SECOND);
        world.startAll();
        run(world, 5 * SECOND);
        assertThat(world.owned()).isGreaterThan(1 - MAX_IN_TRANSIT);
        assertCompleteAtTheEnd(world);
    }

    @Test
    void lostDuplicatedAndReorderedMessagesCountOnce() {
        SupplyWorld world = startUneven(12, new Ways(0.3, 0.5, 0.3, MILLI, 60 * MILLI));
        world.kill(3);
        run(world, 2 * SECOND);
        world.start(3);
        run(world, 10 * SECOND);
        world.net().ways(Ways.USUAL);
        assertCompleteAtTheEnd(world);
    }

    /**
     * Routers of a build without links ignore messages of partners; ring neighbours of both builds exchange as
     * before.
     */
    @Test
    void oldAndNewBuildsWorkTogether() {
        SupplyWorld world = new SupplyWorld(12, 3, Ways.USUAL, WITH_LINKS);
        IntStream.range(0, 6).forEach(i -> world.make(2 * i, WITHOUT_LINKS));
        IntStream.range(0, 12).forEach(i -> world.demand(i, i == 0 ? 240 : 10));
        world.startAll();
        run(world, 20 * SECOND);
        assertThat(world.owned()).isGreaterThan(1 - MAX_IN_TRANSIT);
        // All pairs of ring neighbours, and the links between two routers of the new build: six at distance 2, three
        // each at distances 4 and 8.
        assertThat(world.books().pairs()).isEqualTo(12 + 6 + 6);
        // The routers of the old build are upgraded one after the other.
        for (int i = 0; i < 12; i += 2) {
            world.kill(i);
            world.make(i, WITH_LINKS);
            world.start(i);
            run(world, 2 * SECOND);
        }
        run(world, 10 * SECOND);
        assertCompleteAtTheEnd(world);
    }
}
