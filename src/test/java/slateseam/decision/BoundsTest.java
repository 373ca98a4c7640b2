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

/** The module's state stays within bounds, whatever events arrive and for however long. */
class BoundsTest {
    private static final String MODULE = "slateseam.decision";

    private static long size(World w, String... path) {
        return ((Collection<?>) SupplyTest.field(w.brain, path)).size();
    }

    /**
     * Guards against a memory leak: in a lasting shortage, finished requests lie behind later arrivals in the queue for
     * supply and were never removed.
     */
    @Test
    void aLastingShortageOfSupplyKeepsOnlyOpenRequests() {
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

    /**
     * Guards against slow housekeeping on a busy router: requests that were served at once stayed in the table of due
     * times until half of their time was over.
     */
    @Test
    void finishedRequestsLeaveEveryQueueAtOnce() {
        World w = World.single();
        for (int i = 0; i < 1_000; i++) {
            w.homeOf(1_000 + i % 7);
            w.actions.clear();
        }
        assertThat(Census.of(SupplyTest.field(w.brain, "requests"), MODULE)).isEmpty();
    }

    /**
     * Demand that moves round the ring moves supply along with it. The total of a ledger then grows until its integer
     * overflows, which must not lose any supply.
     */
    @Test
    void supplyThatMovesRoundTheRingIsNotLost() {
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
                    .as("after turn " + turn + ", with " + passed + " units moved")
                    .isBetween((long) (0.85 * Account.WHOLE), (long) Account.WHOLE);
        }
        assertThat(Math.abs(passed))
                .as("units moved, beyond the range of an int")
                .isGreaterThan(1L << 31);
    }

    @SuppressWarnings("unchecked")
    private static List<Neighbour> neighbours(World w) {
        return (List<Neighbour>) SupplyTest.field(w.brain, "budgets", "neighbours");
    }

    /**
     * Guards against tenants that are not listed: if they had shares, a client could use a new name for each request
     * and always stay within a share.
     */
    @Test
    void requestsOfUnlistedTenantsAreBeyondAnyShare() {
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
        assertThat(w.sent(w.request(8, 0))).as("the request of a listed tenant").isNotNull();
    }

    /** Guards against a memory leak where the member list is replaced repeatedly, each time by new servers. */
    @Test
    void removedServersAreForgotten() {
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

    /**
     * Guards against a tenant that requests new keys only: the table of counts stays at its bound, and popular keys are
     * still counted.
     */
    @Test
    void newKeysDoNotCrowdOutPopularKeys() {
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
        assertThat(keys.reads(2))
                .as("reads of the key that became popular when the table was full")
                .isGreaterThan(200);
        assertThat(keys.tell(1, 3, 0.5)).containsKey(2L).hasSize(3);
    }
}
