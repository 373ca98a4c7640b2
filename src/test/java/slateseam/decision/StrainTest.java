package slateseam.decision;

import static org.assertj.core.api.Assertions.assertThat;
import static slateseam.decision.World.MS;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import slateseam.decision.Api.*;

/** Checks outlier detection when one, several or all of twelve caches fail under a steady load. */
class StrainTest {
    private static final int CACHES = 12;

    /** How an attempt ends, and after how long. */
    private record Result(Outcome outcome, long durationNanos) {}

    /** Determines how each attempt at a cache ends. */
    private interface Behaviour {
        Result of(int cache);
    }

    /** An outstanding attempt, which ends at {@code dueAt}. */
    private record PendingAttempt(Send send, int attempt, Result result, long dueAt) {}

    private static final Result HEALTHY = new Result(Outcome.OK, 20 * MS);

    private final World world = new World(World.settings(0, 1, false, List.of()), 7);
    private final Random random = new Random(1);
    private final List<Long> requestIds = new ArrayList<>();
    private Behaviour behaviour = cache -> HEALTHY;
    private Deque<PendingAttempt> pending = new ArrayDeque<>();
    private int processed;
    private int[] sendsByCache;
    private int unserved;

    StrainTest() {
        world.fleet(CACHES);
    }

    /** Advances the time in steps of 10 ms, each with {@code requestsPerStep} requests for random keys. */
    private void pass(long nanos, int requestsPerStep) {
        sendsByCache = new int[CACHES];
        unserved = 0;
        for (long end = world.now + nanos; world.now < end; ) {
            world.now += 10 * MS;
            for (Deque<PendingAttempt> due = pending; !due.isEmpty(); ) {
                pending = new ArrayDeque<>(
                        due.stream().filter(o -> o.dueAt() > world.now).toList());
                due.removeIf(o -> o.dueAt() > world.now);
                due.forEach(o -> world.on(new AttemptEnded(
                        o.send().request(),
                        o.send().member(),
                        o.attempt(),
                        o.result().outcome(),
                        false,
                        o.result().outcome() == Outcome.OK,
                        o.result().durationNanos())));
                processActions();
                due.clear();
            }
            for (int i = 0; i < requestsPerStep; i++) {
                requestIds.add(world.request(random.nextLong() | 1, 0));
            }
            world.on(new TimerFired(1));
            processActions();
        }
    }

    /**
     * Schedules the end of each attempt that was sent since the last call, and counts requests that were not served.
     */
    private void processActions() {
        for (; processed < world.actions.size(); processed++) {
            if (world.actions.get(processed) instanceof Send s) {
                long attempt = world.actions.subList(0, processed).stream()
                        .filter(a -> a instanceof Send t && t.request() == s.request())
                        .count();
                boolean origin = s.member() == World.ORIGIN;
                sendsByCache[origin ? 0 : (int) s.member() - 10] += origin ? 0 : 1;
                Result result = origin ? HEALTHY : behaviour.of((int) s.member() - 10);
                pending.add(new PendingAttempt(s, (int) attempt, result, world.now + result.durationNanos()));
            } else if (world.actions.get(processed) instanceof Refuse || world.actions.get(processed) instanceof Fail) {
                unserved++;
            }
        }
        world.actions.subList(0, processed).removeIf(a -> !(a instanceof Send));
        if (world.actions.size() > 5_000) {
            world.actions.subList(0, world.actions.size() - 2_000).clear();
        }
        processed = world.actions.size();
    }

    /** Returns the caches that attempts were sent to in the last call of {@link #pass}. */
    private Set<Integer> usedCaches() {
        Set<Integer> used = new HashSet<>();
        for (int i = 0; i < CACHES; i++) {
            if (sendsByCache[i] > 0) {
                used.add(i);
            }
        }
        return used;
    }

    /** A failure common to all caches must not eject any of them beyond the failure itself. */
    @Test
    void whenAllCachesFailBrieflyNoneStaysEjected() {
        for (Outcome outcome : List.of(Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.ERROR)) {
            pass(3_000 * MS, 3);
            behaviour = cache -> new Result(outcome, 5 * MS);
            pass(300 * MS, 3);
            behaviour = cache -> HEALTHY;
            pass(300 * MS, 3);
            assertThat(usedCaches()).as("after %s", outcome).hasSize(CACHES);
            pass(300 * MS, 3);
            assertThat(unserved).as("after %s", outcome).isZero();
        }
    }

    /** A single failing cache is ejected, gets trial requests only, and gets its full load again once it recovers. */
    @Test
    void aSingleFailingCacheIsEjectedAndReadmitted() {
        pass(3_000 * MS, 3);
        behaviour = cache -> cache == 4 ? new Result(Outcome.FULL, 5 * MS) : HEALTHY;
        pass(200 * MS, 3);
        pass(9_800 * MS, 3);
        assertThat(sendsByCache[4]).as("trials only").isBetween(1, 6);
        assertThat(sendsByCache[5]).isGreaterThan(150);
        assertThat(unserved).isZero();
        behaviour = cache -> HEALTHY;
        pass(8_000 * MS, 3);
        pass(1_000 * MS, 3);
        assertThat(sendsByCache[4]).isGreaterThan(10);
    }

    /**
     * Lost answers hit all caches alike. They must not make the failure of one full cache look common and keep it in
     * use.
     */
    @Test
    void answersLostAtAllCachesDoNotHideAFullCache() {
        int[] answers = {0};
        Behaviour lossy = cache -> ++answers[0] % 8 == 0 ? new Result(Outcome.RESET, 5 * MS) : HEALTHY;
        behaviour = lossy;
        pass(3_000 * MS, 3);
        behaviour = cache -> cache == 4 ? new Result(Outcome.FULL, 5 * MS) : lossy.of(cache);
        pass(200 * MS, 3);
        pass(5_000 * MS, 3);
        assertThat(sendsByCache[4]).as("trials only").isLessThan(8);
    }

    /**
     * More than half of the caches die, with connections refused or attempts that time out. The other five get the
     * load, and the dead caches get trial requests only.
     */
    @Test
    void deadCachesAreEjectedEvenIfMostCachesAreDead() {
        for (Result result : List.of(new Result(Outcome.CONNECT_FAILED, MS), new Result(Outcome.TIMEOUT, 400 * MS))) {
            StrainTest test = new StrainTest();
            test.pass(3_000 * MS, 2);
            test.behaviour = cache -> cache < 7 ? result : HEALTHY;
            test.pass(2_500 * MS, 2);
            test.pass(5_000 * MS, 2);
            for (int cache = 0; cache < CACHES; cache++) {
                assertThat(test.sendsByCache[cache])
                        .as("%s, cache %d", result, cache)
                        .isBetween(cache < 7 ? 0 : 100, cache < 7 ? 8 : 1_000);
            }
            assertThat(test.unserved).isLessThan(10);
            test.behaviour = cache -> HEALTHY;
            test.pass(8_000 * MS, 2);
            test.pass(1_000 * MS, 2);
            assertThat(test.usedCaches()).hasSize(CACHES);
        }
    }

    /** At a start, handshakes are slow and busy caches reject requests. Neither may lead to an ejection. */
    @Test
    void slowFirstConnectionsEjectNoCache() {
        for (int affected : new int[] {5, CACHES}) {
            StrainTest test = new StrainTest();
            int[] attempts = new int[CACHES];
            test.behaviour = cache -> cache >= affected || ++attempts[cache] > 1
                    ? HEALTHY
                    : cache % 2 == 0 ? new Result(Outcome.FULL, 5 * MS) : new Result(Outcome.TIMEOUT, 350 * MS);
            test.pass(500 * MS, 3);
            test.pass(300 * MS, 3);
            assertThat(test.usedCaches()).as("%d affected", affected).hasSize(CACHES);
            assertThat(test.unserved).isZero();
        }
    }

    /** The tolerance for failures at a start ends: a cache that has not answered by then is ejected. */
    @Test
    void aCacheThatNeverAnswersAfterAStartIsEjected() {
        behaviour = cache -> cache == 4 ? new Result(Outcome.FULL, 5 * MS) : HEALTHY;
        pass(1_000 * MS, 3);
        pass(900 * MS, 3);
        assertThat(sendsByCache[4]).isLessThan(3);
    }

    /** Requests that exceed the windows before any cache has answered wait for room and are then served. */
    @Test
    void requestsBeyondTheWindowsAtAStartWaitForTheFirstAnswers() {
        behaviour = cache -> new Result(Outcome.OK, 100 * MS);
        pass(10 * MS, 160);
        assertThat(unserved).isZero();
        pass(500 * MS, 0);
        assertThat(unserved).isZero();
        assertThat(pending).isEmpty();
        assertThat(requestIds).allMatch(r -> world.sends(r) > 0);
    }
}
