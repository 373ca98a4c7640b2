package slateseam.decision;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Assertions.*;
import static slateseam.decision.World.MS;
import static slateseam.decision.World.ORIGIN;
import static slateseam.decision.World.keyOf;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import slateseam.decision.Api.*;

/** Tests the request path of {@link Brain}: the usual cases, and a regression test for each defect that was found. */
class BrainTest {
    @Test
    void keysAreSpreadEvenlyAndAlikeAtEveryRouter() {
        World w = World.single();
        World other = new World(World.settings(0, 1, false, List.of()), 8);
        other.fleet(10);
        int[] keys = new int[20];
        for (long key = 1000; key < 3000; key++) {
            keys[(int) w.homeOf(key)]++;
            assertEquals(w.homeOf(key), other.homeOf(key));
        }
        for (int cache = 10; cache < 20; cache++) {
            assertTrue(keys[cache] > 140 && keys[cache] < 260, keys[cache] + " keys of 2000");
        }
    }

    @Test
    void aMissIsFetchedFromTheOrigin() {
        World w = World.single();
        w.pass(1000 * MS);
        long r = w.request(5, 0);
        w.end(w.sent(r), Outcome.MISS, 0, MS);
        assertEquals(ORIGIN, w.sent(r).member());
        w.end(w.sent(r), Outcome.OK, 1, 20 * MS);
        w.pass(2000 * MS);
        assertFalse(w.refused(r) || w.failed(r));
    }

    @Test
    void aWriteGoesStraightToTheOrigin() {
        World w = World.single();
        w.pass(1000 * MS);
        assertEquals(ORIGIN, w.sent(w.request(5, 1)).member());
    }

    @Test
    void missesWithoutSupplyAreHeldAndThenRefusedInTime() {
        World w = World.single();
        long r = 0;
        for (long key = 1; key <= 300; key++) {
            r = w.request(key, 0);
            w.end(w.sent(r), Outcome.MISS, 0, MS);
        }
        assertEquals(1, w.sends(r), "held for supply");
        w.pass(995 * MS);
        assertTrue(w.refused(r));
    }

    @Test
    void twoMissesOfAKeyShareOneFetchAndThenAskTheCacheAgain() {
        World w = World.single();
        w.pass(1000 * MS);
        long first = w.request(5, 0);
        long second = w.request(5, 0);
        long cache = w.sent(first).member();
        w.end(w.sent(first), Outcome.MISS, 0, MS);
        w.end(w.sent(second), Outcome.MISS, 0, MS);
        assertEquals(1, w.sends(second), "waits for the fetch of the first");
        w.end(w.sent(first), Outcome.OK, 1, 20 * MS);
        w.pass(20 * MS);
        assertEquals(2, w.sends(second));
        assertEquals(cache, w.sent(second).member());
    }

    @Test
    void aMissWhileTheCacheHasAFetchOutAsksTheCacheAgain() {
        World w = World.single();
        long r = w.request(5, 0);
        Send s = w.sent(r);
        w.on(new AttemptEnded(r, s.member(), 0, Outcome.MISS, true, false, MS));
        w.pass(30 * MS);
        assertEquals(2, w.sends(r));
        assertEquals(s.member(), w.sent(r).member());
    }

    @Test
    void aDepartedCacheLeavesOtherKeysWhereTheyAre() {
        World w = World.single();
        Map<Long, Long> before = new HashMap<>();
        for (long key = 1000; key < 1300; key++) {
            before.put(key, w.homeOf(key));
        }
        w.on(new MembersChanged(ListKind.DELTA, List.of(World.member(14, MemberState.GONE, 0))));
        for (Map.Entry<Long, Long> e : before.entrySet()) {
            long home = w.homeOf(e.getKey());
            assertTrue(e.getValue() == 14 ? home != 14 : home == e.getValue());
        }
    }

    @Test
    void aNewCacheGetsOnlyThePartOfItsKeysThatItIsDue() {
        World before = World.single();
        World w = World.single();
        World warm = World.single();
        w.on(new MembersChanged(ListKind.DELTA, List.of(World.member(5, MemberState.READY, w.now))));
        warm.on(new MembersChanged(ListKind.DELTA, List.of(World.member(5, MemberState.READY, 0))));
        int toNew = 0;
        int due = 0;
        for (long key = 1000; key < 4000; key++) {
            w.now += 2 * MS;
            w.on(new TimerFired(1));
            long found = w.homeOf(key);
            due += warm.homeOf(key) == 5 ? 1 : 0;
            toNew += found == 5 ? 1 : 0;
            assertTrue(found == 5 || found == before.homeOf(key), "other keys stay");
        }
        assertTrue(toNew > 0 && toNew < due, toNew + " of " + due);
    }

    /**
     * Garbled answers and lost connections occur at all cache servers alike. They are no evidence against a server, and
     * the key is still stored there, so that the retry goes to the same server.
     */
    @Test
    void garbledAnswersAndResetsAreRetriedAtTheSameServer() {
        World w = World.single();
        for (int i = 0; i < 20; i++) {
            long r = w.request(keyOf(14, i), 0);
            w.end(w.sent(r), i % 2 == 0 ? Outcome.SPOILT : Outcome.RESET, 0, MS);
            assertEquals(14, w.sent(r).member());
            w.end(w.sent(r), Outcome.OK, 1, MS);
        }
        for (int i = 20; i < 23; i++) {
            assertEquals(14, w.sent(w.request(keyOf(14, i), 0)).member(), "the window is not narrowed either");
        }
    }

    @Test
    void theLastAttemptOfAReadIsForTheOrigin() {
        World w = World.single();
        w.pass(1000 * MS);
        long r = w.request(1000, 0);
        for (int attempt = 0; attempt < 3; attempt++) {
            assertNotEquals(ORIGIN, w.sent(r).member());
            w.end(w.sent(r), Outcome.CONNECT_FAILED, attempt, MS);
        }
        assertEquals(4, w.sends(r), "all attempts that the settings permit");
        assertEquals(ORIGIN, w.sent(r).member());
    }

    /**
     * After a start, no connection is established yet. Attempts that time out before they are sent must not make the
     * servers look as if they were down.
     */
    @Test
    void aSlowConnectionEjectsOnlyAfterSilenceLongerThanAConnectTimeout() {
        World w = World.single();
        endFirstAttempts(w, 0, 8, Outcome.UNSENT);
        assertEquals(14, w.sent(w.request(keyOf(14, 8), 0)).member());
        w.now += 650 * MS;
        endFirstAttempts(w, 9, 13, Outcome.UNSENT);
        assertNotEquals(14, w.homeOf(keyOf(14, 13)));
    }

    @Test
    void timeoutsOfShortAttemptsDoNotEjectTheCache() {
        World w = World.single();
        endFirstAttempts(w, 0, 4, Outcome.TIMEOUT);
        assertEquals(14, w.homeOf(keyOf(14, 4)));
    }

    /** Reads some keys of cache server 14, ends each first attempt with the outcome and serves the retries. */
    private static void endFirstAttempts(World w, int from, int to, Outcome outcome) {
        for (int i = from; i < to; i++) {
            w.drive(w.request(keyOf(14, i), 0), outcome);
        }
    }

    /**
     * Attempts that fail together count as one failure, and an ejected cache server that answers with misses only is
     * reinstated slowly.
     */
    @Test
    void anEjectedCacheIsReinstatedByMisses() {
        World w = World.single();
        w.homeOf(keyOf(14, 30));
        w.homeOf(keyOf(14, 31)); // the window has grown to three requests
        w.now += MS;
        List<Send> lost = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            lost.add(w.sent(w.request(keyOf(14, i), 0)));
        }
        w.now += 400 * MS;
        lost.forEach(s -> w.end(s, Outcome.TIMEOUT, 0, 400 * MS));
        w.pass(1100 * MS); // the first ejection takes 1 s
        for (int i = 0; i < 8; i++) {
            long trial = w.request(keyOf(14, 10 + i), 0);
            assertEquals(14, w.sent(trial).member());
            w.end(w.sent(trial), Outcome.MISS, 0, MS);
            w.on(new ClientGone(trial));
        }
        w.request(keyOf(14, 20), 0);
        assertEquals(14, w.sent(w.request(keyOf(14, 21), 0)).member(), "two requests in progress");
    }

    @Test
    void aReadGetsATimeoutOnlyWhileThereIsTimeForAnotherAnswer() {
        World w = World.single();
        for (long usual : new long[] {100, 300}) {
            for (int i = 0; i < 100; i++) {
                Send s = w.sent(w.request(5000 + i, 0));
                w.end(s, Outcome.OK, 0, usual * MS);
                w.now += 2000 * MS;
            }
            long timeout = w.sent(w.request(7000 + usual, 0)).timeoutNanos();
            assertTrue(usual == 100 ? timeout > 700 * MS && timeout < 800 * MS : timeout == 0, "timeout " + timeout);
        }
    }

    @Test
    void aRequestThatWasNeverSentIsDeclinedAtHalfOfItsTime() {
        World w = World.single();
        long r = 0;
        for (int i = 0; i < 100; i++) {
            r = w.request(1 + i, 1);
        }
        assertEquals(0, w.sends(r), "held for supply");
        w.on(new MembersChanged(ListKind.DELTA, List.of(World.member(ORIGIN, MemberState.DRAINING, 0))));
        w.pass(480 * MS);
        assertTrue(w.refused(r));
    }

    /**
     * Guards against a slot table that grows with every replaced cache server, until the hashes of a key only hit empty
     * slots and the remaining servers are not found any more.
     */
    @Test
    void replacedCachesAreForgottenAndTheOthersKeepTheirKeys() {
        World w = World.single();
        Map<Long, Long> homes = new HashMap<>();
        int moved = 0;
        for (long id = 10; id < 210; id++) {
            w.on(new MembersChanged(
                    ListKind.DELTA,
                    List.of(World.member(id, MemberState.GONE, 0), World.member(id + 10, MemberState.READY, 0))));
            for (long key = 5000; key < 5100; key++) {
                long home = w.homeOf(key);
                assertTrue(home > id && home <= id + 10, "the home of a key is a cache that is there");
                Long before = homes.put(key, home);
                moved += before != null && before != home && before != id ? 1 : 0;
            }
        }
        assertTrue(moved < 200 * 20, moved + " of 20000 keys left a cache that was there");
        assertEquals(11, ((Map<?, ?>) SupplyTest.field(w.brain, "cluster", "servers")).size());
    }

    @Test
    void aHotKeyIsSpreadOverSeveralCaches() {
        World w = World.single();
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            used.add(w.homeOf(i % 2 == 0 ? 77 : 1000 + i));
        }
        Set<Long> hot = new HashSet<>();
        for (int i = 0; i < 50; i++) {
            hot.add(w.homeOf(77));
        }
        assertTrue(hot.size() > 2);
    }

    @Test
    void aKeyThatIsHotAtANeighbourIsSpread() {
        World w = new World(World.settings(0, 2, false, List.of()), 7);
        w.fleet(10);
        for (int i = 0; i < 1000; i++) {
            w.homeOf(10_000 + i);
        }
        Set<Long> before = new HashSet<>();
        Set<Long> after = new HashSet<>();
        for (int i = 0; i < 12; i++) {
            before.add(w.homeOf(77));
        }
        w.on(new PeerMessage(
                1,
                new SupplyMessage(
                                0,
                                false,
                                false,
                                false,
                                5,
                                0,
                                1,
                                0,
                                9,
                                new int[1],
                                new int[1],
                                new int[1],
                                new double[] {1},
                                Map.of(0L, 1000.0, 77L, 300.0))
                        .encode()));
        for (int i = 0; i < 12; i++) {
            after.add(w.homeOf(77));
        }
        assertEquals(1, before.size());
        assertTrue(after.size() > 2, "copies of the key: " + after);
    }

    @Test
    void aCacheThatTimesOutIsEjectedAndThenTried() {
        World w = World.single();
        w.homeOf(World.keyOf(14, 10)); // establishes the connection
        w.now += 1000 * MS;
        for (int i = 0; i < 2; i++) {
            w.end(w.sent(w.request(World.keyOf(14, i), 0)), Outcome.TIMEOUT, 0, 400 * MS);
            w.now += MS;
        }
        assertNotEquals(14, w.homeOf(World.keyOf(14, 2)));
        w.pass(9000 * MS);
        assertEquals(14, w.homeOf(World.keyOf(14, 3)), "one request is sent as a trial");
    }

    @Test
    void aCacheThatAnswersFullIsEjected() {
        World w = World.single();
        long home = w.homeOf(1000);
        w.end(w.sent(w.request(1000, 0)), Outcome.FULL, 0, MS);
        w.pass(900 * MS);
        assertNotEquals(home, w.homeOf(1000));
    }

    @Test
    void whereRequestsAreRareOneRefusedConnectionEjects() {
        World w = new World(World.settings(0, 1, false, List.of()), 7);
        w.fleet(50);
        w.pass(2000 * MS);
        long home = w.homeOf(1000);
        w.end(w.sent(w.request(1000, 0)), Outcome.CONNECT_FAILED, 0, 250 * MS);
        assertNotEquals(home, w.homeOf(1000));
    }

    @Test
    void whereRequestsAreRareATimeoutEjectsUnlessItsKeyIsPopular() {
        World w = new World(World.settings(0, 1, false, List.of()), 7);
        w.fleet(52);
        for (int i = 0; i < 2000; i++) {
            w.homeOf(10_000 + i);
            w.pass(20 * MS);
        }
        long home = w.homeOf(1000);
        long popular = w.homeOf(2000);
        assertNotEquals(home, popular);
        assertEquals(popular, w.homeOf(2000));
        for (long key = 1000; key <= 2000; key += 1000) {
            w.end(w.sent(w.request(key, 0)), Outcome.TIMEOUT, 0, 400 * MS);
        }
        w.pass(600 * MS);
        assertNotEquals(home, w.homeOf(1000));
        assertEquals(popular, w.homeOf(2000));
    }

    @Test
    void requestsWithoutRoomAtACacheAreFetchedWhileSupplyIsLeft() {
        World w = World.single();
        for (long key = 1; key <= 50; key++) {
            w.homeOf(key); // the cache servers have answered before, and so has the origin
        }
        sendWrites(w, 20, Outcome.OK, 20 * MS);
        w.pass(1000 * MS);
        int fetched = 0;
        int refused = 0;
        for (int i = 0; i < 400; i++) {
            long r = w.request(1000, 0);
            fetched += w.sent(r) != null && w.sent(r).member() == ORIGIN ? 1 : 0;
            refused += w.refused(r) ? 1 : 0;
        }
        assertTrue(fetched >= 2, fetched + " fetched");
        assertTrue(refused > 0, "fetches do not exceed the supply");
    }

    @Test
    void routersThatHeardOfCachesInAnotherOrderAgreeOnHomes() {
        World one = World.single();
        World two = World.single();
        Member early = World.member(90, MemberState.READY, 1);
        Member late = World.member(80, MemberState.READY, 2);
        one.on(new MembersChanged(ListKind.DELTA, List.of(late)));
        one.on(new MembersChanged(ListKind.DELTA, List.of(early)));
        two.on(new MembersChanged(ListKind.DELTA, List.of(early, late)));
        for (long key = 1000; key < 1100; key++) {
            assertEquals(one.homeOf(key), two.homeOf(key));
        }
    }

    @Test
    void missesDoNotHideThatACacheIsOverloaded() {
        World w = World.single();
        for (int i = 0; i < 2; i++) {
            w.end(w.sent(w.request(World.keyOf(14, i), 0)), Outcome.MISS, 0, MS);
            w.now += MS;
            Send lost = w.sent(w.request(World.keyOf(14, 10 + i), 0));
            w.now += 400 * MS;
            w.end(lost, Outcome.TIMEOUT, 0, 400 * MS);
        }
        assertNotEquals(14, w.homeOf(World.keyOf(14, 20)));
    }

    @Test
    void aSlowCacheGetsFewerConcurrentRequests() {
        World w = World.single();
        long key = 1000;
        long home = w.homeOf(key);
        for (int i = 0; i < 6; i++) {
            w.now += 1000 * MS;
            Send s = w.sent(w.request(key, 0));
            if (s != null && s.member() == home) {
                w.end(s, Outcome.OK, 0, 450 * MS);
            }
        }
        w.now += 5000 * MS;
        int there = 0;
        for (int i = 0; i < 8; i++) {
            Send s = w.sent(w.request(key, 0));
            there += s != null && s.member() == home ? 1 : 0;
        }
        assertTrue(there <= 1, there + " in progress");
    }

    @Test
    void refusedConnectionsNarrowTheWindowOfTheOriginAndNotR() {
        World w = World.single();
        w.pass(1000 * MS);
        w.end(w.sent(w.request(1, 1)), Outcome.CONNECT_FAILED, 0, 0);
        assertEquals(40, rate(w), "R is unchanged");
        w.pass(2000 * MS);
        int out = 0;
        for (long key = 100; key <= 120; key++) {
            out += w.sends(w.request(key, 1)) > 0 ? 1 : 0;
        }
        assertTrue(out < 8, out + " in progress");
    }

    @Test
    void rIsNotCutAgainOnFetchTimesFromBeforeTheCut() {
        World w = World.single();
        w.pass(1000 * MS);
        sendWrites(w, 40, Outcome.OK, 20 * MS);
        double before = rate(w);
        sendWrites(w, 20, Outcome.OK, 300 * MS);
        double cut = rate(w);
        assertTrue(cut < before, "a slow origin cuts R: " + before + " to " + cut);
        sendWrites(w, 10, Outcome.OK, 20 * MS);
        double after = rate(w);
        sendWrites(w, 10, Outcome.OK, 20 * MS);
        w.pass(5000 * MS);
        sendWrites(w, 10, Outcome.OK, 20 * MS);
        double later = rate(w);
        assertTrue(later >= after, after + " fell to " + later);
    }

    /** Returns R, the rate of origin fetches per second that the router has learned. */
    private static double rate(World w) {
        return SupplyTest.accounts(w.brain).get(0).rate;
    }

    @Test
    void rDoesNotGrowWhileFetchesAreSlowerThanUsual() {
        World w = World.single();
        w.pass(1000 * MS);
        sendWrites(w, 40, Outcome.OK, 50 * MS);
        sendWrites(w, 30, Outcome.OK, 100 * MS);
        double before = rate(w);
        for (long key = 1; key <= 90; key++) {
            Send s = w.sent(w.request(key, 1));
            if (s != null) {
                w.end(s, Outcome.OK, 0, 100 * MS);
            }
            w.pass(10 * MS);
        }
        assertEquals(before, rate(w));
    }

    @Test
    void rComesBackFromADeepCutOnceTheOriginIsQuickAgain() {
        World w = World.single();
        w.pass(1000 * MS);
        sendWrites(w, 40, Outcome.OK, 20 * MS);
        sendWrites(w, 100, Outcome.TIMEOUT, 400 * MS);
        double deep = rate(w);
        assertTrue(deep < 10, "cut to " + deep);
        sendWrites(w, 200, Outcome.OK, 20 * MS);
        double back = rate(w);
        assertTrue(back > 6 * deep, deep + " came back to " + back);
    }

    /** Sends a write every 50 ms; each attempt, begun at once or later, ends with the outcome after {@code took} ns. */
    private static void sendWrites(World w, int count, Outcome outcome, long took) {
        List<Long> open = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            open.add(w.request(1 + w.now, 1));
            w.pass(50 * MS);
            for (long r : List.copyOf(open)) {
                if (w.sends(r) > 0) {
                    w.end(w.sent(r), outcome, 0, took);
                    open.remove(r);
                }
            }
        }
    }

    @Test
    void aFetchThatFillsACacheIsNotCancelledWhileTheOriginIsSlowerThanTheAim() {
        World w = World.single();
        w.pass(1000 * MS);
        int cancelled = 0;
        int leftAlone = 0;
        for (int i = 0; i < 7; i++) {
            long r = w.request(5000 + i, 0);
            w.end(w.sent(r), Outcome.MISS, 0, MS);
            w.pass(1000 * MS);
            assertEquals(ORIGIN, w.sent(r).member());
            assertTrue(w.refused(r));
            boolean stopped = w.actions.stream().anyMatch(a -> a instanceof Cancel c && c.request() == r);
            cancelled += stopped ? 1 : 0;
            leftAlone += stopped ? 0 : 1;
            w.end(w.sent(r), stopped ? Outcome.CANCELLED : Outcome.OK, 1, 1000 * MS);
        }
        assertEquals(6, cancelled);
        assertEquals(1, leftAlone);
    }

    @Test
    void theLatestRequestThatWaitsForSupplyIsSentFirst() {
        World w = World.single();
        List<Long> held = new ArrayList<>();
        for (long key = 1; held.size() < 10; key++) {
            w.now += MS;
            long r = w.request(key, 1);
            if (w.sends(r) == 0) {
                held.add(r);
            }
        }
        w.pass(100 * MS);
        assertEquals(0, w.sends(held.get(0)));
        assertEquals(1, w.sends(held.get(9)));
    }

    @Test
    void aRequestWithHardlyAnyTimeLeftIsAnsweredAtOnce() {
        World w = World.single();
        for (long key = 1; key <= 200; key++) {
            w.request(key, 1);
        }
        w.on(new RequestArrived(7777, 5, 0, 1, true, true, 0, 3 * MS));
        assertTrue(w.refused(7777));
    }

    @Test
    void replicasOfAHotKeyThatMissAreAbandoned() {
        World w = World.single();
        w.pass(1000 * MS);
        for (int i = 0; i < 60; i++) {
            w.drive(w.request(77, 0), Outcome.MISS);
            w.pass(30 * MS);
        }
        Set<Long> hot = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            hot.add(w.homeOf(77));
        }
        hot.remove(-1L);
        assertEquals(1, hot.size());
    }

    @Test
    void admissionWithinShareComesBackAfterACollapse() {
        World w = World.single();
        for (int round = 0; round < 60; round++) {
            for (int i = 0; i < 10; i++) {
                w.drive(w.request(4000 + round * 10 + i, 0), round < 20 || i % 6 == 0 ? Outcome.FULL : Outcome.OK);
            }
            w.pass(250 * MS);
        }
        int refused = 0;
        for (int i = 0; i < 20; i++) {
            refused += w.refused(w.request(9000 + i, 0)) ? 1 : 0;
        }
        assertTrue(refused <= 4, refused + " refused");
    }

    @Test
    void trialsOfFullCachesDoNotTurnAwayWorkForTheOthers() {
        World w = new World(World.settings(0, 1, false, List.of(new Tenant("a", 1, 1))), 3);
        w.fleet(200);
        int refused = 0;
        for (int i = 0; i < 4000; i++) {
            long r = w.request(4000 + i, 0);
            for (int attempt = 0; w.sends(r) > attempt && attempt < 4; attempt++) {
                boolean full = w.sent(r).member() < 50;
                w.end(w.sent(r), full ? Outcome.FULL : Outcome.OK, attempt, full ? MS : 20 * MS);
            }
            refused += i >= 3200 && w.refused(r) ? 1 : 0;
            w.pass(20 * MS);
        }
        assertTrue(refused <= 80, refused + " of 800 refused");
    }

    @Test
    void idleConnectionsAreClosedOnlyToTheMemberThatRefusedOne() {
        World w = World.single();
        w.end(w.sent(w.request(keyOf(10, 0), 0)), Outcome.CONNECT_FAILED, 0, MS);
        w.pass(9_000 * MS); // the ejection is over by then
        for (long cache = 10; cache < 12; cache++) {
            List<Action> after = w.end(w.sent(w.request(keyOf(cache, 1), 0)), Outcome.OK, 0, 5 * MS);
            assertEquals(cache == 10, after.contains(new CloseIdle(cache)), "cache " + cache);
        }
    }

    @Test
    void aBurstOfATenantIsNotOverItsShare() {
        List<Tenant> tenants = List.of(new Tenant("a", 2, 1));
        World w = new World(World.settings(0, 1, false, tenants), 3);
        w.fleet(4);
        w.pass(4000 * MS);
        collapse(w);
        for (int i = 0; i < 3; i++) {
            assertFalse(w.refused(w.request(5000 + i, 0)), "within its share");
        }
    }

    /** Makes attempts fail for a while, at a ratio below that at which requests within their share are shed. */
    private static void collapse(World w) {
        for (int i = 0; i < 30; i++) {
            Send s = w.sent(w.request(3000 + i, 0));
            if (s != null) {
                w.end(s, i % 5 == 0 ? Outcome.FULL : Outcome.OK, 0, MS);
            }
        }
        w.pass(4000 * MS);
    }

    @Test
    void overShareWorkIsTurnedAwayFirst() {
        List<Tenant> tenants = List.of(new Tenant("a", 2, 1));
        World w = new World(World.settings(0, 1, false, tenants), 3);
        w.fleet(4);
        int refused = 0;
        for (int round = 0; round < 40; round++) {
            for (int i = 0; i < 10; i++) {
                long r = w.request(9000 + round * 10 + i, 0);
                refused += w.refused(r) ? 1 : 0;
                Send s = w.sent(r);
                if (s != null) {
                    w.end(s, Outcome.OK, 0, i % 5 == 0 ? 450 * MS : MS);
                }
            }
            w.pass(250 * MS);
        }
        assertTrue(refused > 100, refused + " refused");
    }

    @Test
    void askedDiscoveryIsSubscribedToEarlyAndAgainAfterAFailure() {
        World w = new World(World.settings(0, 3, true, List.of()), 4);
        assertTrue(w.actions.stream().anyMatch(a -> a instanceof SetTimer t && t.tag() == 2));
        w.now += 1000 * MS;
        assertTrue(w.on(new TimerFired(2)).stream().anyMatch(Subscribe.class::isInstance));
        assertTrue(w.on(new MembersChanged(ListKind.FAILED, List.of())).stream()
                .anyMatch(a -> a instanceof SetTimer t && t.tag() == 2));
    }

    @Test
    void nothingGoesToADrainingCache() {
        World w = World.single();
        long home = w.homeOf(1000);
        w.on(new MembersChanged(ListKind.DELTA, List.of(World.member(home, MemberState.DRAINING, 0))));
        assertNotEquals(home, w.homeOf(1000));
    }

    @Test
    void aListWithoutReadyCacheStillGetsAnswersFromTheOrigin() {
        World w = new World(World.settings(0, 1, false, List.of()), 5);
        w.on(new MembersChanged(ListKind.FULL, List.of(World.member(ORIGIN, MemberState.READY, 0))));
        w.pass(1000 * MS);
        assertEquals(ORIGIN, w.sent(w.request(9, 0)).member());
        w.on(new MembersChanged(ListKind.FULL, List.of()));
        assertTrue(w.refused(w.request(10, 0)));
    }

    @Test
    void whereCachesFetchThemselvesTheCacheOfTheKeyGetsReadsAndWrites() {
        Settings a = World.settings(0, 1, false, List.of());
        World w = new World(
                new Settings(
                        0, 1, 0, MS, false, CacheMode.THROUGH, -1, 1, a.classes(), List.of(), a.limits(), a.rules()),
                6);
        w.on(new MembersChanged(
                ListKind.FULL,
                List.of(
                        World.member(10, MemberState.READY, 0),
                        World.member(11, MemberState.READY, 0),
                        World.member(12, MemberState.READY, 0))));
        long home = w.homeOf(1234);
        long write = w.request(1234, 2);
        assertEquals(home, w.sent(write).member());
        w.end(w.sent(write), Outcome.ERROR, 0, MS);
        assertEquals(1, w.sends(write), "the write may have run");
        assertTrue(w.failed(write));
    }

    @Test
    void aMemberMissingFromAFullListIsGone() {
        World w = World.single();
        w.fleet(5);
        for (long key = 1000; key < 1050; key++) {
            assertTrue(w.homeOf(key) < 15);
        }
    }

    @Test
    void aStreamThatHasBegunIsLeftAlone() {
        World w = World.single();
        long r = w.request(1000, 3);
        w.on(new StreamEstablished(r, w.sent(r).member(), 0));
        w.pass(3000 * MS);
        assertFalse(w.refused(r) || w.failed(r));
    }

    @Test
    void unexpectedButLegalEventsAreIgnored() {
        World w = World.single();
        long r = w.request(1000, 0);
        Send s = w.sent(r);
        w.end(s, Outcome.OK, 0, MS);
        int before = w.actions.size();
        w.on(new AttemptEnded(r, s.member(), 0, Outcome.TIMEOUT, false, true, MS));
        w.on(new AttemptEnded(99, 999, 0, Outcome.OK, false, true, MS));
        w.on(new ClientGone(r));
        w.on(new ClientGone(12345));
        w.on(new TimerFired(77));
        w.on(new StreamEstablished(r, s.member(), 0));
        w.on(new ProbeEnded(999, Outcome.OK, MS));
        w.on(new PeerMessage(3, new byte[] {1, 2, 3}));
        w.on(new PeerMessage(0, new byte[0]));
        w.on(new MembersChanged(ListKind.DELTA, List.of(World.member(555, MemberState.GONE, 0))));
        assertEquals(before, w.actions.size());
        assertEquals(1, w.sends(w.request(1001, 0)));
    }

    @Test
    void rOnlyGrowsWhileSupplyBinds() {
        World idle = World.single();
        double first = rate(idle);
        idle.pass(20_000 * MS);
        assertEquals(first, rate(idle));
    }

    /** Open requests keep the class and the attempt limit with which they arrived; later requests get the new ones. */
    @Test
    void newSettingsApplyToLaterRequestsOnly() {
        World w = World.single();
        long before = w.request(World.keyOf(10, 0), 0);
        Settings old = World.settings(0, 1, false, List.of());
        RequestClass pay = old.classes().get(2);
        Limits l = old.limits();
        w.on(new Retuned(new Settings(
                0,
                1,
                0,
                MS,
                false,
                CacheMode.ASIDE,
                1,
                0.1,
                List.of(pay),
                List.of(),
                new Limits(1, false, true, true, true, true, l.maxRetryAfterNanos(), l.connectTimeoutNanos(), 32),
                old.rules())));
        w.end(w.sent(before), Outcome.RESET, 0, MS);
        assertThat(w.sends(before)).as("a read, tried again").isEqualTo(2);
        long after = w.request(World.keyOf(10, 0), 0);
        w.end(w.sent(after), Outcome.RESET, 0, MS);
        assertThat(w.sends(after)).isEqualTo(1);
        assertThat(w.failed(after)).as("it must not run twice now").isTrue();
    }

    /**
     * In its first second a router cannot estimate how rarely a server gets requests, so the length of an ejection must
     * not depend on that rate yet.
     */
    @Test
    void aFirstFailureDoesNotCostAServerManySeconds() {
        World w = World.single();
        w.end(w.sent(w.request(keyOf(10, 0), 0)), Outcome.OK, 0, 5 * MS);
        w.pass(300 * MS); // one interval with one request
        w.end(w.sent(w.request(keyOf(10, 1), 0)), Outcome.FULL, 0, 5 * MS);
        assertThat(w.homeOf(keyOf(10, 2))).isNotEqualTo(10);
        w.pass(1100 * MS);
        assertThat(w.homeOf(keyOf(10, 3))).isEqualTo(10);
    }
}
