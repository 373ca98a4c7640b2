package slateseam.decision;

import static org.assertj.core.api.Assertions.assertThat;
import static slateseam.decision.World.MS;
import static slateseam.decision.World.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import slateseam.Census;
import slateseam.decision.Api.*;

/** What the module holds stays within bounds, whatever comes and for however long. */
class BoundsTest {
    private static final String MODULE = "slateseam.decision";

    private static long size(World w, String... path) {
        return ((Collection<?>) SupplyTest.field(w.brain, path)).size();
    }

    /** Guards the heap: what waits for supply lies under what came later, and stayed there after its answer. */
    @Test
    void aLastingShortageOfSupplyHoldsOnlyWhatIsStillOwed() {
        World w = World.single();
        for (int i = 0; i < 12_000; i++) {
            Send first = w.sent(w.request(1_000 + i, 0));
            if (first != null) {
                w.end(first, Outcome.MISS, 0, MS);
            }
            for (Action a : List.copyOf(w.actions)) {
                if (a instanceof Send s && s.member() == World.ORIGIN) {
                    w.end(s, Outcome.FULL, 1, 5 * MS);
                }
            }
            w.pass(10 * MS);
            w.actions.clear();
        }
        assertThat(size(w, "requests", "awaitingSupply"))
                .as("two minutes of 100 requests a second that wait for 0.5 s")
                .isLessThan(200);
        w.pass(2_000 * MS);
        assertThat(Census.of(SupplyTest.field(w.brain, "requests"), MODULE))
                .as("queues of requests, when all have their answer")
                .isEmpty();
    }

    /** Guards housekeeping on a busy router: what was served at once stayed in the order of deadlines for half its time. */
    @Test
    void whatHasItsAnswerLeavesEveryQueueAtOnce() {
        World w = World.single();
        for (int i = 0; i < 1_000; i++) {
            w.homeOf(1_000 + i % 7);
            w.actions.clear();
        }
        assertThat(Census.of(SupplyTest.field(w.brain, "requests"), MODULE)).isEmpty();
    }

    /** Demand that goes round the ring takes supply with it, and the ledgers' totals pass the end of their numbers. */
    @Test
    void supplyThatGoesRoundTheRingIsNeverUsedUp() {
        Ring ring = new Ring(3, 4, 0, 0);
        long passed = 0;
        int before = 0;
        for (int turn = 0; turn < 60; turn++) {
            double[] misses = new double[3];
            misses[turn % 3] = 2;
            ring.pass(8_000 * MS, misses);
            Neighbour n = neighbours(ring.routers[0]).get(0);
            int flow = ((int[]) SupplyTest.field(n.ledger(0), "flow"))[0];
            passed += flow - before;
            before = flow;
            assertThat(ring.total(0))
                    .as("after turn " + turn + ", " + passed + " units went by")
                    .isBetween((long) (0.85 * Account.WHOLE), (long) Account.WHOLE);
        }
        assertThat(Math.abs(passed)).as("beyond what a number holds").isGreaterThan(1L << 31);
    }

    @SuppressWarnings("unchecked")
    private static List<Neighbour> neighbours(World w) {
        return (List<Neighbour>) SupplyTest.field(w.brain, "budgets", "neighbours");
    }

    /** Guards a tenant's share against names that were never seen: under each of them everything would be within share. */
    @Test
    void whatNoListedTenantAsksForIsBeyondAnyShare() {
        World w = new World(World.settings(0, 1, false, List.of(new Tenant("a", 1000, 1))), 3);
        w.fleet(2);
        w.pass(3_000 * MS);
        List<Long> strangers = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            long id = 50_000 + i;
            w.on(new RequestArrived(id, 7, 1, 0, false, false, 0, 1000 * MS));
            strangers.add(id);
        }
        Map<?, ?> jobs = (Map<?, ?>) SupplyTest.field(w.brain, "requests", "jobs");
        assertThat(jobs.values()).isNotEmpty().allMatch(job -> ((Job) job).overShare);
        assertThat(w.sent(w.request(8, 0))).as("a listed tenant's").isNotNull();
    }

    /** A list that is replaced again and again, each time by servers never heard of, leaves nothing behind. */
    @Test
    void serversThatWentForGoodAreForgotten() {
        World w = World.single();
        for (int i = 0; i < 2_000; i++) {
            List<Member> all = new ArrayList<>(List.of(member(World.ORIGIN, MemberState.READY, 0)));
            for (int k = 0; k < 5; k++) {
                all.add(member(1_000 + 10L * i + k, MemberState.READY, 0));
            }
            w.on(new MembersChanged(ListKind.FULL, all));
            w.homeOf(i);
            w.actions.clear();
        }
        assertThat((Map<?, ?>) SupplyTest.field(w.brain, "cluster", "servers")).hasSize(6);
    }

    /** A tenant that asks only for new keys: the table of counts is full at its bound, and what is popular still counts. */
    @Test
    void keysNeverAskedForBeforeDoNotCrowdOutPopularOnes() {
        KeyCounts keys = new KeyCounts();
        for (int interval = 0; interval < 200; interval++) {
            for (int i = 0; i < 2_000; i++) {
                keys.read(1_000_000L + interval * 10_000L + i);
                if (i % 200 == 0) {
                    keys.read(interval < 100 ? 1 : 2);
                }
            }
            keys.fade(0.987);
            assertThat(Census.of(keys, MODULE).get("KeyCounts.own")).isLessThanOrEqualTo(KeyCounts.MOST_KEYS);
        }
        assertThat(keys.reads(2)).as("popular since the table was full").isGreaterThan(200);
        assertThat(keys.tell(1, 3, 0.5)).containsKey(2L).hasSize(3);
    }
}
