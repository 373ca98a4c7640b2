package slateseam.decision;

import static org.assertj.core.api.Assertions.assertThat;
import static slateseam.decision.World.MS;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import slateseam.decision.Api.PeerMessage;
import slateseam.decision.Api.Sight;
import slateseam.decision.Api.TellPeer;
import slateseam.decision.Api.TierSeen;
import slateseam.decision.Api.TimerFired;
import slateseam.decision.Api.Trust;

/**
 * Tests a router that stops and returns, on a ring whose messages are duplicated and reordered: at no step do all
 * routers together hold more than the whole budget, except for one transfer, and in the end they hold all of it
 * again.
 */
class SupplyReturnTest {
    private static final int RETURNING = 1;
    /** Longest duration of an exchange without loss: two messages of up to 60 ms each, and a step of 10 ms. */
    private static final long EXCHANGE_NANOS = 130 * MS;
    /** Time after which a router that starts no longer waits for its neighbours. */
    private static final long START_UP_WAIT_NANOS = 250 * MS;

    private static final long MAX_TOTAL = Account.WHOLE / 32 * 33L;

    private static double[] demand(Ring ring) {
        double[] demand = new double[ring.routers.length];
        for (int i = 0; i < demand.length; i++) {
            demand[i] = i == RETURNING ? 0.6 : 0.2;
        }
        return demand;
    }

    /**
     * Stops the router, lets time pass and starts it again.
     *
     * @param buddy the ring successor, if it is to be stopped too, or -1
     * @return the units that the router held before
     */
    private static int stopAndReturn(Ring ring, long away, int buddy) {
        ring.pass(4000 * MS, demand(ring));
        int before = ring.held(RETURNING, 0);
        ring.routers[RETURNING] = null;
        if (buddy >= 0) {
            ring.routers[buddy] = null;
        }
        ring.pass(away, demand(ring));
        ring.start(RETURNING);
        return before;
    }

    private static void passUntilItHolds(Ring ring, long maxNanos) {
        for (long end = ring.now + maxNanos; ring.held(RETURNING, 0) == 0 && ring.now < end; ) {
            ring.pass(10 * MS, demand(ring));
        }
    }

    @Test
    void returningRouterHasItsSupplyAfterTheFirstExchange() {
        for (int n = 2; n <= 5; n++) {
            for (long away : new long[] {300 * MS, 3_000 * MS, 60_000 * MS}) {
                Ring ring = new Ring(n, n + away, 0, 0.3);
                int before = stopAndReturn(ring, away, -1);
                if (away > 2_000 * MS) {
                    assertThat(ring.total(0)).as("with its buddy").isGreaterThan(Account.WHOLE / 10 * 9L);
                }
                passUntilItHolds(ring, EXCHANGE_NANOS);
                // If there was time, the ring successor has passed on part of the supply that it inherited.
                double part = n == 2 || away < 1_000 * MS ? 0.9 : 0.5;
                assertThat(ring.held(RETURNING, 0))
                        .as("%d routers, away %d", n, away)
                        .isGreaterThan((int) (part * before));
                ring.pass(5_000 * MS, demand(ring));
                assertThat(ring.maxTotal).isLessThan(MAX_TOTAL);
                assertThat(ring.total(0)).isGreaterThan(Account.WHOLE / 16 * 15L);
            }
        }
    }

    @Test
    void lostMessagesNeitherCreateNorLoseSupply() {
        for (int seed = 1; seed <= 10; seed++) {
            for (long away : new long[] {300 * MS, 3_000 * MS}) {
                Ring ring = new Ring(2 + seed % 4, seed, 0.3, 0.3);
                stopAndReturn(ring, away, -1);
                passUntilItHolds(ring, START_UP_WAIT_NANOS);
                assertThat(ring.held(RETURNING, 0)).isGreaterThan(Account.WHOLE / 8);
                ring.pass(5_000 * MS, demand(ring));
                assertThat(ring.maxTotal).as("seed %d, away %d", seed, away).isLessThan(MAX_TOTAL);
                ring.loss = 0;
                ring.pass(2_000 * MS, demand(ring));
                assertThat(ring.total(0)).isGreaterThan(Account.WHOLE / 16 * 15L);
            }
        }
    }

    @Test
    void routerReturnsWhileItsSuccessorIsGoneOrHasRestarted() {
        for (int n = 2; n <= 5; n++) {
            for (long away : new long[] {300 * MS, 3_000 * MS, 60_000 * MS}) {
                for (long buddyAway : new long[] {0, 8_000 * MS}) {
                    int buddy = (RETURNING + 1) % n;
                    Ring ring = new Ring(n, n + away, 0, 0.3);
                    int before = stopAndReturn(ring, away, buddy);
                    if (buddyAway == 0) {
                        ring.start(buddy);
                    }
                    passUntilItHolds(ring, START_UP_WAIT_NANOS);
                    // The ledger of these two is lost; what remains is an even share and the other neighbour's ledger.
                    assertThat(ring.held(RETURNING, 0)).isGreaterThan(before / 2);
                    ring.pass(buddyAway + 10 * MS, demand(ring));
                    if (buddyAway > 0) {
                        assertThat(ring.total(0)).isGreaterThan(Account.WHOLE / 4 * 3L);
                        ring.start(buddy);
                    }
                    ring.pass(5_000 * MS, demand(ring));
                    assertThat(ring.maxTotal).as("%d routers, away %d", n, away).isLessThan(MAX_TOTAL);
                    assertThat(ring.total(0)).isGreaterThan(Account.WHOLE / 16 * 15L);
                }
            }
        }
    }

    /** Guards against taking a total of a previous run for one of the present run. */
    @Test
    void messagesOfAPreviousRunAreIgnored() {
        Ring ring = new Ring(2, 5, 0, 0);
        ring.pass(6_000 * MS, 0.1, 0.9);
        var late = List.copyOf(ring.sentMessages);
        ring.routers[0] = null;
        ring.pass(100 * MS, 0, 0.5);
        ring.start(0);
        ring.pass(6_000 * MS, 0.9, 0.1);
        ring.inTransit.addAll(late);
        ring.pass(10 * MS, 0.9, 0.1);
        assertThat(ring.maxTotal).isLessThan(MAX_TOTAL);
        assertThat(ring.held(1, 0)).isLessThan(Account.WHOLE / 4);
    }

    /** Guards against neighbours that ignore a router because its clock was set back before it started again. */
    @Test
    void clockThatWasSetBackIsCompensated() {
        Ring ring = new Ring(3, 6, 0, 0);
        ring.pass(4_000 * MS, demand(ring));
        int before = ring.held(RETURNING, 0);
        ring.routers[RETURNING] = null;
        ring.pass(300 * MS, demand(ring));
        ring.clockLagNanos[RETURNING] = 3_600_000 * MS;
        ring.start(RETURNING);
        ring.pass(2 * START_UP_WAIT_NANOS, demand(ring));
        assertThat(ring.held(RETURNING, 0)).isGreaterThan(before / 10 * 9);
    }

    /** Until a restarted router has seen requests its demand is only a floor, which must not drain its supply again. */
    @Test
    void returnedSupplyStaysUntilDemandIsKnown() {
        Ring ring = new Ring(2, 7, 0, 0);
        int before = stopAndReturn(ring, 300 * MS, -1);
        ring.pass(1_000 * MS, 0.2, 0);
        assertThat(ring.held(RETURNING, 0)).isGreaterThan(before / 10 * 9);
    }

    /** A restarted router adopts R from its neighbours, though it has fetched nothing yet. */
    @Test
    void returningRouterAdoptsTheOriginRateOfItsNeighbours() {
        Ring ring = new Ring(2, 8, 0, 0);
        ring.pass(3_000 * MS, demand(ring));
        ring.routers[RETURNING] = null;
        SupplyTest.accounts(ring.routers[0].brain).get(0).rate = 7;
        ring.pass(300 * MS, demand(ring));
        ring.start(RETURNING);
        ring.pass(EXCHANGE_NANOS, 0, 0);
        assertThat(SupplyTest.accounts(ring.routers[RETURNING].brain).get(0).rate)
                .isBetween(6.9, 7.1);
    }

    /** A neighbour of another version is alive, though its messages cannot be read: each router keeps an even share. */
    @Test
    void messagesOfAnotherVersionAreIgnoredAndTheirSenderIsNotInheritedFrom() {
        World w = new World(World.settings(0, 2, false, List.of()), 3);
        for (int i = 0; i < 100; i++) {
            w.on(new PeerMessage(1, new byte[] {2, 0, 0}));
            w.pass(100 * MS);
        }
        assertThat(SupplyTest.accounts(w.brain).get(0).held()).isEqualTo(Account.WHOLE / 2);
        w.pass(3_000 * MS);
        assertThat(SupplyTest.accounts(w.brain).get(0).held()).isEqualTo(Account.WHOLE);
    }

    /**
     * Two processes of one router never use its supply at once, and the one that takes over has it after one
     * exchange.
     */
    @Test
    void upgradeDoesNotUseSupplyTwice() {
        for (int seed = 0; seed < 20; seed++) {
            Ring ring = new Ring(5, seed, 0, 0.2);
            ring.pass(4000 * MS, demand(ring));
            int before = ring.held(RETURNING, 0);
            World standby = ring.startStandby(RETURNING);
            for (int i = 0; i < 50; i++) {
                ring.pass(10 * MS, demand(ring));
                standby.now = ring.now;
                standby.on(new TimerFired(1));
                long write = standby.request(0, 2);
                assertThat(standby.sends(write))
                        .as("fetches of a process on standby")
                        .isZero();
            }
            assertThat(standby.actions).noneMatch(a -> a instanceof TellPeer);
            World old = ring.routers[RETURNING];
            ring.resetExtremes();
            ring.takeOver(RETURNING, standby);
            int spent = 0;
            for (int i = 0; i < 100; i++) {
                old.now += 10 * MS;
                old.on(new TimerFired(1));
                spent += old.sends(old.request(0, 2));
            }
            // The old process may spend the burst that it had, the supply of a quarter of a second, and nothing more.
            assertThat(spent)
                    .isLessThanOrEqualTo(
                            1 + (int) (SupplyTest.accounts(old.brain).get(0).supply() / 4));
            passUntilItHolds(ring, EXCHANGE_NANOS);
            assertThat(ring.held(RETURNING, 0)).as("seed " + seed).isGreaterThan(before / 2);
            ring.pass(4000 * MS, demand(ring));
            assertThat(ring.maxTotal).isLessThanOrEqualTo(MAX_TOTAL);
            assertThat(ring.total(0)).isGreaterThan(Account.WHOLE / 10 * 9L);
        }
    }

    /** Routers that were all suspended at once have heard nobody meanwhile; none may take over the others' supply. */
    @Test
    void ownSuspensionIsNoSilenceOfTheOthers() {
        for (int n = 2; n <= 5; n++) {
            for (long pause : new long[] {1_100 * MS, 3_000 * MS, 30_000 * MS}) {
                Ring ring = new Ring(n, n + pause, 0, 0.3);
                ring.pass(4_000 * MS, demand(ring));
                ring.resetExtremes();
                Arrays.fill(ring.paused, true);
                ring.pass(pause, demand(ring));
                Arrays.fill(ring.paused, false);
                ring.pass(2_000 * MS, demand(ring));
                assertThat(ring.maxTotal)
                        .as("%d routers, all paused %d ms", n, pause / MS)
                        .isLessThan(MAX_TOTAL);
                assertThat(ring.minTotal).isGreaterThan(Account.WHOLE / 10 * 9L);
            }
        }
    }

    /** A ring successor that was suspended still inherits from a router that has died, later by its suspension. */
    @Test
    void routerThatDiedDuringASuspensionIsInheritedFromAfterIt() {
        Ring ring = new Ring(5, 11, 0, 0);
        int successor = (RETURNING + 1) % 5;
        ring.pass(4_000 * MS, demand(ring));
        ring.paused[successor] = true;
        ring.routers[RETURNING] = null;
        ring.pass(500 * MS, demand(ring));
        ring.paused[successor] = false;
        ring.pass(4_000 * MS, demand(ring));
        assertThat(ring.total(0)).isGreaterThan(Account.WHOLE / 10 * 9L);
    }

    private static void reportSight(Ring ring, int router, int of, Sight sight, Trust trust) {
        ring.routers[router].on(new TierSeen(of, sight, trust));
    }

    /** A one-way partition: the ring successor does not hear a router that others hear, and must not use its supply. */
    @Test
    void routerThatOthersHearIsNotInheritedFrom() {
        Ring ring = new Ring(5, 3, 0, 0);
        int successor = (RETURNING + 1) % 5;
        ring.pass(4_000 * MS, demand(ring));
        ring.resetExtremes();
        reportSight(ring, successor, RETURNING, Sight.THERE, Trust.FULL);
        ring.silenced[RETURNING] = true;
        ring.pass(10_000 * MS, demand(ring));
        assertThat(ring.maxTotal).isLessThan(MAX_TOTAL);
        // Supply that was inherited because of silence alone is returned as soon as any router hears the other.
        reportSight(ring, successor, RETURNING, Sight.UNKNOWN, Trust.FULL);
        ring.pass(4_000 * MS, demand(ring));
        assertThat(ring.total(0)).isGreaterThan(MAX_TOTAL);
        assertThat(SupplyTest.accounts(ring.routers[successor].brain).get(0).inherited)
                .isPositive();
        reportSight(ring, successor, RETURNING, Sight.THERE, Trust.FULL);
        assertThat(SupplyTest.accounts(ring.routers[successor].brain).get(0).inherited)
                .isZero();
        // The successor owes the supply that it has passed on meanwhile, and the ring brings it back.
        ring.pass(8_000 * MS, demand(ring));
        assertThat(ring.total(0)).isLessThan(MAX_TOTAL);
    }

    @Test
    void routerThatAllHaveLostIsInheritedFromSooner() {
        long[] after = new long[2];
        for (int known = 0; known < 2; known++) {
            Ring ring = new Ring(5, 4, 0, 0);
            int successor = (RETURNING + 1) % 5;
            ring.pass(4_000 * MS, demand(ring));
            ring.routers[RETURNING] = null;
            reportSight(ring, successor, RETURNING, known == 0 ? Sight.UNKNOWN : Sight.GONE, Trust.FULL);
            while (ring.total(0) < Account.WHOLE / 10 * 9L) {
                ring.pass(10 * MS, demand(ring));
                after[known] += 10 * MS;
            }
        }
        assertThat(after[1]).isLessThan(after[0] / 2);
    }

    /**
     * A router that was suspended, or that nobody hears, must not use its own supply, as others may be using it. It
     * has the supply again afterwards, as its ledgers are unchanged.
     */
    @Test
    void routerWithoutTrustUsesAndLosesNothing() {
        Ring ring = new Ring(5, 5, 0, 0);
        ring.pass(4_000 * MS, demand(ring));
        int before = ring.held(RETURNING, 0);
        reportSight(ring, RETURNING, (RETURNING + 1) % 5, Sight.THERE, Trust.NONE);
        assertThat(ring.held(RETURNING, 0)).isZero();
        ring.pass(2_000 * MS, demand(ring));
        assertThat(ring.held(RETURNING, 0)).isZero();
        reportSight(ring, RETURNING, (RETURNING + 1) % 5, Sight.THERE, Trust.FULL);
        assertThat(ring.held(RETURNING, 0)).isGreaterThan(before / 2);
        ring.pass(4_000 * MS, demand(ring));
        assertThat(ring.total(0)).isBetween(Account.WHOLE / 16 * 15L, MAX_TOTAL);
    }

    /** A router in the smaller part of a partition uses its own supply and inherits none. */
    @Test
    void routerThatTrustsOnlyItsOwnSupplyInheritsNothing() {
        Ring ring = new Ring(3, 6, 0, 0);
        ring.pass(4_000 * MS, demand(ring));
        int successor = (RETURNING + 1) % 3;
        int before = ring.held(successor, 0);
        reportSight(ring, successor, RETURNING, Sight.GONE, Trust.OWN);
        ring.routers[RETURNING] = null;
        ring.pass(5_000 * MS, demand(ring));
        assertThat(ring.held(successor, 0)).isBetween(before / 2, before + Account.WHOLE / 4);
        reportSight(ring, successor, RETURNING, Sight.GONE, Trust.FULL);
        ring.pass(1_000 * MS, demand(ring));
        assertThat(ring.total(0)).isGreaterThan(Account.WHOLE / 10 * 9L);
    }
}
