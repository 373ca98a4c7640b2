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
    private record End(Outcome outcome, long took) {}

    /** Determines how each attempt at a cache ends. */
    private interface Fate {
        End of(int cache);
    }

    /** An outstanding attempt, which ends at {@code due}. */
    private record Out(Send send, int attempt, End end, long due) {}

    private static final End WELL = new End(Outcome.OK, 20 * MS);

    private final World w = new World(World.settings(0, 1, false, List.of()), 7);
    private final Random random = new Random(1);
    private final List<Long> asked = new ArrayList<>();
    private Fate fate = cache -> WELL;
    private Deque<Out> out = new ArrayDeque<>();
    private int seen;
    private int[] sends;
    private int refused;

    StrainTest() {
        w.fleet(CACHES);
    }

    /** Advances the time in steps of 10 ms, with {@code requests} requests for keys drawn at random in each step. */
    private void pass(long nanos, int requests) {
        sends = new int[CACHES];
        refused = 0;
        for (long end = w.now + nanos; w.now < end; ) {
            w.now += 10 * MS;
            for (Deque<Out> due = out; !due.isEmpty(); ) {
                out = new ArrayDeque<>(due.stream().filter(o -> o.due() > w.now).toList());
                due.removeIf(o -> o.due() > w.now);
                due.forEach(o -> w.on(new AttemptEnded(
                        o.send().request(),
                        o.send().member(),
                        o.attempt(),
                        o.end().outcome(),
                        false,
                        o.end().outcome() == Outcome.OK,
                        o.end().took())));
                look();
                due.clear();
            }
            for (int i = 0; i < requests; i++) {
                asked.add(w.request(random.nextLong() | 1, 0));
            }
            w.on(new TimerFired(1));
            look();
        }
    }

    /**
     * Schedules the end of each attempt that was sent since the last call, and counts requests that were not served.
     */
    private void look() {
        for (; seen < w.actions.size(); seen++) {
            if (w.actions.get(seen) instanceof Send s) {
                long attempt = w.actions.subList(0, seen).stream()
                        .filter(a -> a instanceof Send t && t.request() == s.request())
                        .count();
                boolean origin = s.member() == World.ORIGIN;
                sends[origin ? 0 : (int) s.member() - 10] += origin ? 0 : 1;
                End end = origin ? WELL : fate.of((int) s.member() - 10);
                out.add(new Out(s, (int) attempt, end, w.now + end.took()));
            } else if (w.actions.get(seen) instanceof Refuse || w.actions.get(seen) instanceof Fail) {
                refused++;
            }
        }
        w.actions.subList(0, seen).removeIf(a -> !(a instanceof Send));
        if (w.actions.size() > 5_000) {
            w.actions.subList(0, w.actions.size() - 2_000).clear();
        }
        seen = w.actions.size();
    }

    /** Returns the caches that attempts were sent to in the last call of {@link #pass}. */
    private Set<Integer> used() {
        Set<Integer> used = new HashSet<>();
        for (int i = 0; i < CACHES; i++) {
            if (sends[i] > 0) {
                used.add(i);
            }
        }
        return used;
    }

    /** A failure common to all caches must not eject any of them beyond the failure itself. */
    @Test
    void whenEveryCacheFailsForAMomentNoneIsLeftAloneAfterwards() {
        for (Outcome outcome : List.of(Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.ERROR)) {
            pass(3_000 * MS, 3);
            fate = cache -> new End(outcome, 5 * MS);
            pass(300 * MS, 3);
            fate = cache -> WELL;
            pass(300 * MS, 3);
            assertThat(used()).as("after %s", outcome).hasSize(CACHES);
            pass(300 * MS, 3);
            assertThat(refused).as("after %s", outcome).isZero();
        }
    }

    /** A single failing cache is ejected, gets trial requests only, and gets its full load again once it recovers. */
    @Test
    void oneCacheThatFailsIsLeftAloneAndComesBack() {
        pass(3_000 * MS, 3);
        fate = cache -> cache == 4 ? new End(Outcome.FULL, 5 * MS) : WELL;
        pass(200 * MS, 3);
        pass(9_800 * MS, 3);
        assertThat(sends[4]).as("trials only").isBetween(1, 6);
        assertThat(sends[5]).isGreaterThan(150);
        assertThat(refused).isZero();
        fate = cache -> WELL;
        pass(8_000 * MS, 3);
        pass(1_000 * MS, 3);
        assertThat(sends[4]).isGreaterThan(10);
    }

    /**
     * Lost answers hit all caches alike. They must not make the failure of one full cache look common and keep it in
     * use.
     */
    @Test
    void answersThatAreLostEverywhereDoNotKeepASickCacheInUse() {
        int[] answers = {0};
        Fate lossy = cache -> ++answers[0] % 8 == 0 ? new End(Outcome.RESET, 5 * MS) : WELL;
        fate = lossy;
        pass(3_000 * MS, 3);
        fate = cache -> cache == 4 ? new End(Outcome.FULL, 5 * MS) : lossy.of(cache);
        pass(200 * MS, 3);
        pass(5_000 * MS, 3);
        assertThat(sends[4]).as("trials only").isLessThan(8);
    }

    /**
     * More than half of the caches die, with connections refused or attempts that time out. The other five get the
     * load, and the dead caches get trial requests only.
     */
    @Test
    void sevenOfTwelveThatDieAreLeftAlone() {
        for (End end : List.of(new End(Outcome.CONNECT_FAILED, MS), new End(Outcome.TIMEOUT, 400 * MS))) {
            StrainTest t = new StrainTest();
            t.pass(3_000 * MS, 2);
            t.fate = cache -> cache < 7 ? end : WELL;
            t.pass(2_500 * MS, 2);
            t.pass(5_000 * MS, 2);
            for (int cache = 0; cache < CACHES; cache++) {
                assertThat(t.sends[cache])
                        .as("%s, cache %d", end, cache)
                        .isBetween(cache < 7 ? 0 : 100, cache < 7 ? 8 : 1_000);
            }
            assertThat(t.refused).isLessThan(10);
            t.fate = cache -> WELL;
            t.pass(8_000 * MS, 2);
            t.pass(1_000 * MS, 2);
            assertThat(t.used()).hasSize(CACHES);
        }
    }

    /** At a start, handshakes are slow and busy caches reject requests. Neither may lead to an ejection. */
    @Test
    void atAStartNoCacheIsLeftAloneForWhatItsNewConnectionsDo() {
        for (int struck : new int[] {5, CACHES}) {
            StrainTest t = new StrainTest();
            int[] got = new int[CACHES];
            t.fate = cache -> cache >= struck || ++got[cache] > 1
                    ? WELL
                    : cache % 2 == 0 ? new End(Outcome.FULL, 5 * MS) : new End(Outcome.TIMEOUT, 350 * MS);
            t.pass(500 * MS, 3);
            t.pass(300 * MS, 3);
            assertThat(t.used()).as("%d struck", struck).hasSize(CACHES);
            assertThat(t.refused).isZero();
        }
    }

    /** The tolerance for failures at a start ends: a cache that has not answered by then is ejected. */
    @Test
    void oneThatHasNotAnsweredSinceTheStartIsLeftAloneAfterAWhile() {
        fate = cache -> cache == 4 ? new End(Outcome.FULL, 5 * MS) : WELL;
        pass(1_000 * MS, 3);
        pass(900 * MS, 3);
        assertThat(sends[4]).isLessThan(3);
    }

    /** Requests that exceed the windows before any cache has answered wait for room and are then served. */
    @Test
    void workThatFindsNoRoomAtAStartWaitsForTheFirstAnswers() {
        fate = cache -> new End(Outcome.OK, 100 * MS);
        pass(10 * MS, 160);
        assertThat(refused).isZero();
        pass(500 * MS, 0);
        assertThat(refused).isZero();
        assertThat(out).isEmpty();
        assertThat(asked).allMatch(r -> w.sends(r) > 0);
    }
}
