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
    private static final int ITS = 1;
    /** Longest duration of an exchange without loss: two messages of up to 60 ms each, and a step of 10 ms. */
    private static final long EXCHANGE = 130 * MS;
    /** Time after which a router that starts no longer waits for its neighbours. */
    private static final long WAIT = 250 * MS;

    private static final long MOST = Account.WHOLE / 32 * 33L;

    private static double[] demand(Ring ring) {
        double[] demand = new double[ring.routers.length];
        for (int i = 0; i < demand.length; i++) {
            demand[i] = i == ITS ? 0.6 : 0.2;
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
        int before = ring.held(ITS, 0);
        ring.routers[ITS] = null;
        if (buddy >= 0) {
            ring.routers[buddy] = null;
        }
        ring.pass(away, demand(ring));
        ring.start(ITS);
        return before;
    }

    private static void passUntilItHolds(Ring ring, long most) {
        for (long end = ring.now + most; ring.held(ITS, 0) == 0 && ring.now < end; ) {
            ring.pass(10 * MS, demand(ring));
        }
    }

    @Test
    void itHasItsSupplyAgainAfterTheFirstExchange() {
        for (int n = 2; n <= 5; n++) {
            for (long away : new long[] {300 * MS, 3_000 * MS, 60_000 * MS}) {
                Ring ring = new Ring(n, n + away, 0, 0.3);
                int before = stopAndReturn(ring, away, -1);
                if (away > 2_000 * MS) {
                    assertThat(ring.total(0)).as("with its buddy").isGreaterThan(Account.WHOLE / 10 * 9L);
                }
                passUntilItHolds(ring, EXCHANGE);
                // If there was time, the ring successor has passed on part of the supply that it inherited.
                double part = n == 2 || away < 1_000 * MS ? 0.9 : 0.5;
                assertThat(ring.held(ITS, 0)).as("%d routers, away %d", n, away).isGreaterThan((int) (part * before));
                ring.pass(5_000 * MS, demand(ring));
                assertThat(ring.most).isLessThan(MOST);
                assertThat(ring.total(0)).isGreaterThan(Account.WHOLE / 16 * 15L);
            }
        }
    }

    @Test
    void lostMessagesNeitherMintNorLose() {
        for (int seed = 1; seed <= 10; seed++) {
            for (long away : new long[] {300 * MS, 3_000 * MS}) {
                Ring ring = new Ring(2 + seed % 4, seed, 0.3, 0.3);
                stopAndReturn(ring, away, -1);
                passUntilItHolds(ring, WAIT);
                assertThat(ring.held(ITS, 0)).isGreaterThan(Account.WHOLE / 8);
                ring.pass(5_000 * MS, demand(ring));
                assertThat(ring.most).as("seed %d, away %d", seed, away).isLessThan(MOST);
                ring.loss = 0;
                ring.pass(2_000 * MS, demand(ring));
                assertThat(ring.total(0)).isGreaterThan(Account.WHOLE / 16 * 15L);
            }
        }
    }

    @Test
    void soItIsWhileItsBuddyIsGoneOrHasRestartedToo() {
        for (int n = 2; n <= 5; n++) {
            for (long away : new long[] {300 * MS, 3_000 * MS, 60_000 * MS}) {
                for (long buddyAway : new long[] {0, 8_000 * MS}) {
                    int buddy = (ITS + 1) % n;
                    Ring ring = new Ring(n, n + away, 0, 0.3);
                    int before = stopAndReturn(ring, away, buddy);
                    if (buddyAway == 0) {
                        ring.start(buddy);
                    }
                    passUntilItHolds(ring, WAIT);
                    // The ledger of these two is lost; what remains is an even share and the other neighbour's ledger.
                    assertThat(ring.held(ITS, 0)).isGreaterThan(before / 2);
                    ring.pass(buddyAway + 10 * MS, demand(ring));
                    if (buddyAway > 0) {
                        assertThat(ring.total(0)).isGreaterThan(Account.WHOLE / 4 * 3L);
                        ring.start(buddy);
                    }
                    ring.pass(5_000 * MS, demand(ring));
                    assertThat(ring.most).as("%d routers, away %d", n, away).isLessThan(MOST);
                    assertThat(ring.total(0)).isGreaterThan(Account.WHOLE / 16 * 15L);
                }
            }
        }
    }

    /** Guards against taking a total of a previous run for one of the present run. */
    @Test
    void messagesOfAnEarlierLifeAreTooLate() {
        Ring ring = new Ring(2, 5, 0, 0);
        ring.pass(6_000 * MS, 0.1, 0.9);
        var late = List.copyOf(ring.everything);
        ring.routers[0] = null;
        ring.pass(100 * MS, 0, 0.5);
        ring.start(0);
        ring.pass(6_000 * MS, 0.9, 0.1);
        ring.post.addAll(late);
        ring.pass(10 * MS, 0.9, 0.1);
        assertThat(ring.most).isLessThan(MOST);
        assertThat(ring.held(1, 0)).isLessThan(Account.WHOLE / 4);
    }

    /** Guards against neighbours that ignore a router because its clock was set back before it started again. */
    @Test
    void aClockThatWasSetBackIsMadeGood() {
        Ring ring = new Ring(3, 6, 0, 0);
        ring.pass(4_000 * MS, demand(ring));
        int before = ring.held(ITS, 0);
        ring.routers[ITS] = null;
        ring.pass(300 * MS, demand(ring));
        ring.behind[ITS] = 3_600_000 * MS;
        ring.start(ITS);
        ring.pass(2 * WAIT, demand(ring));
        assertThat(ring.held(ITS, 0)).isGreaterThan(before / 10 * 9);
    }

    /** Until a restarted router has seen requests its demand is only a floor, which must not drain its supply again. */
    @Test
    void whatItGetsBackIsNotTakenAwayBeforeItKnowsItsDemand() {
        Ring ring = new Ring(2, 7, 0, 0);
        int before = stopAndReturn(ring, 300 * MS, -1);
        ring.pass(1_000 * MS, 0.2, 0);
        assertThat(ring.held(ITS, 0)).isGreaterThan(before / 10 * 9);
    }

    /** A restarted router adopts R from its neighbours, though it has fetched nothing yet. */
    @Test
    void itTakesOverWhatItsNeighboursHaveLearnedOfTheOrigin() {
        Ring ring = new Ring(2, 8, 0, 0);
        ring.pass(3_000 * MS, demand(ring));
        ring.routers[ITS] = null;
        SupplyTest.accounts(ring.routers[0].brain).get(0).rate = 7;
        ring.pass(300 * MS, demand(ring));
        ring.start(ITS);
        ring.pass(EXCHANGE, 0, 0);
        assertThat(SupplyTest.accounts(ring.routers[ITS].brain).get(0).rate).isBetween(6.9, 7.1);
    }

    /** A neighbour of another version is alive, though its messages cannot be read: each router keeps an even share. */
    @Test
    void messagesOfAnotherVersionArePassedOverAndTheirSenderNotInherited() {
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
    void anUpgradeMintsNothingTwice() {
        for (int seed = 0; seed < 20; seed++) {
            Ring ring = new Ring(5, seed, 0, 0.2);
            ring.pass(4000 * MS, demand(ring));
            int before = ring.held(ITS, 0);
            World heir = ring.heir(ITS);
            for (int i = 0; i < 50; i++) {
                ring.pass(10 * MS, demand(ring));
                heir.now = ring.now;
                heir.on(new TimerFired(1));
                long write = heir.request(0, 2);
                assertThat(heir.sends(write)).as("what rests pays for nothing").isZero();
            }
            assertThat(heir.actions).noneMatch(a -> a instanceof TellPeer);
            World old = ring.routers[ITS];
            ring.watch();
            ring.takeOver(ITS, heir);
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
            passUntilItHolds(ring, EXCHANGE);
            assertThat(ring.held(ITS, 0)).as("seed " + seed).isGreaterThan(before / 2);
            ring.pass(4000 * MS, demand(ring));
            assertThat(ring.most).isLessThanOrEqualTo(MOST);
            assertThat(ring.total(0)).isGreaterThan(Account.WHOLE / 10 * 9L);
        }
    }

    /** Routers that were all suspended at once have heard nobody meanwhile; none may take over the others' supply. */
    @Test
    void whatFellIntoItsOwnPauseIsNoSilenceOfTheOthers() {
        for (int n = 2; n <= 5; n++) {
            for (long pause : new long[] {1_100 * MS, 3_000 * MS, 30_000 * MS}) {
                Ring ring = new Ring(n, n + pause, 0, 0.3);
                ring.pass(4_000 * MS, demand(ring));
                ring.watch();
                Arrays.fill(ring.paused, true);
                ring.pass(pause, demand(ring));
                Arrays.fill(ring.paused, false);
                ring.pass(2_000 * MS, demand(ring));
                assertThat(ring.most)
                        .as("%d routers, all paused %d ms", n, pause / MS)
                        .isLessThan(MOST);
                assertThat(ring.least).isGreaterThan(Account.WHOLE / 10 * 9L);
            }
        }
    }

    /** A ring successor that was suspended still inherits from a router that has died, later by its suspension. */
    @Test
    void whoDiedDuringThePauseIsInheritedFromAfterIt() {
        Ring ring = new Ring(5, 11, 0, 0);
        int heir = (ITS + 1) % 5;
        ring.pass(4_000 * MS, demand(ring));
        ring.paused[heir] = true;
        ring.routers[ITS] = null;
        ring.pass(500 * MS, demand(ring));
        ring.paused[heir] = false;
        ring.pass(4_000 * MS, demand(ring));
        assertThat(ring.total(0)).isGreaterThan(Account.WHOLE / 10 * 9L);
    }

    private static void tell(Ring ring, int router, int of, Sight sight, Trust trust) {
        ring.routers[router].on(new TierSeen(of, sight, trust));
    }

    /** A one-way partition: the ring successor does not hear a router that others hear, and must not use its supply. */
    @Test
    void whomOthersHearIsNotInheritedFrom() {
        Ring ring = new Ring(5, 3, 0, 0);
        int heir = (ITS + 1) % 5;
        ring.pass(4_000 * MS, demand(ring));
        ring.watch();
        tell(ring, heir, ITS, Sight.THERE, Trust.FULL);
        ring.mute[ITS] = true;
        ring.pass(10_000 * MS, demand(ring));
        assertThat(ring.most).isLessThan(MOST);
        // Supply that was inherited because of silence alone is returned as soon as any router hears the other.
        tell(ring, heir, ITS, Sight.UNKNOWN, Trust.FULL);
        ring.pass(4_000 * MS, demand(ring));
        assertThat(ring.total(0)).isGreaterThan(MOST);
        assertThat(SupplyTest.accounts(ring.routers[heir].brain).get(0).inherited)
                .isPositive();
        tell(ring, heir, ITS, Sight.THERE, Trust.FULL);
        assertThat(SupplyTest.accounts(ring.routers[heir].brain).get(0).inherited)
                .isZero();
        // The successor owes the supply that it has passed on meanwhile, and the ring brings it back.
        ring.pass(8_000 * MS, demand(ring));
        assertThat(ring.total(0)).isLessThan(MOST);
    }

    @Test
    void whomAllHaveLostIsInheritedFromSooner() {
        long[] after = new long[2];
        for (int known = 0; known < 2; known++) {
            Ring ring = new Ring(5, 4, 0, 0);
            int heir = (ITS + 1) % 5;
            ring.pass(4_000 * MS, demand(ring));
            ring.routers[ITS] = null;
            tell(ring, heir, ITS, known == 0 ? Sight.UNKNOWN : Sight.GONE, Trust.FULL);
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
    void whoTrustsNothingUsesNothingAndLosesNothing() {
        Ring ring = new Ring(5, 5, 0, 0);
        ring.pass(4_000 * MS, demand(ring));
        int before = ring.held(ITS, 0);
        tell(ring, ITS, (ITS + 1) % 5, Sight.THERE, Trust.NONE);
        assertThat(ring.held(ITS, 0)).isZero();
        ring.pass(2_000 * MS, demand(ring));
        assertThat(ring.held(ITS, 0)).isZero();
        tell(ring, ITS, (ITS + 1) % 5, Sight.THERE, Trust.FULL);
        assertThat(ring.held(ITS, 0)).isGreaterThan(before / 2);
        ring.pass(4_000 * MS, demand(ring));
        assertThat(ring.total(0)).isBetween(Account.WHOLE / 16 * 15L, MOST);
    }

    /** A router in the smaller part of a partition uses its own supply and inherits none. */
    @Test
    void whoTrustsOnlyItsOwnInheritsNothing() {
        Ring ring = new Ring(3, 6, 0, 0);
        ring.pass(4_000 * MS, demand(ring));
        int heir = (ITS + 1) % 3;
        int before = ring.held(heir, 0);
        tell(ring, heir, ITS, Sight.GONE, Trust.OWN);
        ring.routers[ITS] = null;
        ring.pass(5_000 * MS, demand(ring));
        assertThat(ring.held(heir, 0)).isBetween(before / 2, before + Account.WHOLE / 4);
        tell(ring, heir, ITS, Sight.GONE, Trust.FULL);
        ring.pass(1_000 * MS, demand(ring));
        assertThat(ring.total(0)).isGreaterThan(Account.WHOLE / 10 * 9L);
    }
}
