package slateseam.decision;

import static org.junit.jupiter.api.Assertions.*;
import static slateseam.decision.World.MS;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import slateseam.decision.Api.*;

/**
 * Checks that all routers together stay within the budget of a cold member, and that the module is deterministic. All
 * other rules are checked by {@code RulesModelTest}.
 */
class RulesPropertyTest {
    @Test
    void allRoutersTogetherStayWithinAColdMembersBudget() {
        int routers = 5;
        int caches = 6;
        double fairShare = 600.0 / (caches + 1);
        List<World> fleet = new ArrayList<>();
        Random random = new Random(5);
        for (int i = 0; i < routers; i++) {
            World w = new World(World.settings(i, routers, false, List.of()), i);
            w.fleet(caches);
            fleet.add(w);
        }
        long up = fleet.get(0).now + 4000 * MS;
        List<Long> sends = new ArrayList<>();
        for (int ms = 0; ms < 12_000; ms += 10) {
            for (World w : fleet) {
                w.now += 10 * MS;
                w.on(new TimerFired(1));
                if (ms == 4000) {
                    w.on(new MembersChanged(ListKind.DELTA, List.of(World.member(99, MemberState.READY, up))));
                }
                for (int k = 0; k < 6 / routers + (random.nextInt(routers) < 6 % routers ? 1 : 0); k++) {
                    long key = random.nextInt(10) < 4 ? 7 : 1000 + random.nextInt(3000);
                    Send s = w.sent(w.request(key, 0));
                    if (s != null) {
                        w.end(s, Outcome.OK, 0, 5 * MS);
                        if (s.member() == 99) {
                            sends.add(w.now);
                        }
                    }
                }
                w.actions.clear();
            }
        }
        assertFalse(sends.isEmpty());
        for (long at : sends) {
            long inWindow =
                    sends.stream().filter(t -> t >= at && t < at + 2000 * MS).count();
            double age = Math.min(1, (at - up) / (8000.0 * MS));
            assertTrue(inWindow <= 3 * (0.3 + 0.7 * age) * fairShare * 2, inWindow + " sent at age " + age);
        }
    }

    @Test
    void identicalEventsGiveIdenticalActions() {
        List<Action> first = run();
        assertEquals(first.toString(), run().toString());
    }

    private static List<Action> run() {
        Random random = new Random(3);
        World w = new World(World.settings(0, 1, true, List.of(new Tenant("a", 20, 1))), 8);
        w.fleet(5);
        for (int i = 0; i < 500; i++) {
            Send s = w.sent(w.request(1 + random.nextInt(30), 0));
            if (s != null) {
                w.end(s, Outcome.values()[random.nextInt(9)], 0, MS * random.nextInt(400));
            }
            w.pass(10 * MS);
        }
        return w.actions;
    }
}
