package slateseam.decision;

import static org.junit.jupiter.api.Assertions.*;
import static slateseam.decision.World.MS;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import slateseam.decision.Api.*;

/** The four rules over random event histories. */
class RulesPropertyTest {
    private static final class Watched {
        final int type;
        final long deadline;
        boolean closed;
        boolean mayHaveRun;
        Send open;
        int attempts;

        Watched(int type, long deadline) {
            this.type = type;
            this.deadline = deadline;
        }
    }

    private final Map<Long, Watched> requests = new HashMap<>();
    private final Map<Long, Long> toldOff = new HashMap<>();

    @Test
    void everyHistoryKeepsTheRules() {
        for (long seed = 1; seed <= 40; seed++) {
            requests.clear();
            toldOff.clear();
            history(seed);
        }
    }

    private void history(long seed) {
        Random random = new Random(seed);
        World w = new World(World.settings(0, 1 + random.nextInt(3), random.nextBoolean(), List.of(
                new Tenant("a", 40, 0.5), new Tenant("b", 40, 0.5))), seed);
        w.fleet(6);
        for (int step = 0; step < 1500; step++) {
            w.now += 2 * MS;
            int from = w.actions.size();
            if (random.nextInt(3) > 0) {
                int type = random.nextInt(3);
                long ttl = (random.nextInt(6) == 0 ? 1 + random.nextInt(40) : 200 + random.nextInt(800)) * MS;
                long id = seed * 1_000_000 + step;
                requests.put(id, new Watched(type, w.now + ttl));
                w.on(new RequestArrived(id, 1 + random.nextInt(200), random.nextInt(2), type, type > 0, false, 0, ttl));
            }
            if (step % 5 == 0) {
                w.on(new TimerFired(1));
            }
            if (random.nextInt(100) == 0) {
                changeList(w, random);
            }
            check(w, from);
            endSome(w, random);
        }
        for (int i = 0; i < 200; i++) {
            w.now += 10 * MS;
            int from = w.actions.size();
            w.on(new TimerFired(1));
            check(w, from);
            endSome(w, random);
        }
        requests.forEach((id, r) -> assertTrue(r.closed, "no final answer for " + id + " in history " + seed));
    }

    private void changeList(World w, Random random) {
        long id = 10 + random.nextInt(6);
        MemberState state = MemberState.values()[random.nextInt(3)];
        int from = w.actions.size();
        w.on(new MembersChanged(ListKind.DELTA, List.of(World.member(id, state, state == MemberState.READY ? w.now : 0))));
        if (state == MemberState.READY) {
            toldOff.remove(id);
        } else {
            toldOff.put(id, w.now);
        }
        check(w, from);
    }

    /** Ends outstanding attempts at random, and all whose request's time is up. */
    private void endSome(World w, Random random) {
        for (Long id : new ArrayList<>(requests.keySet())) {
            Watched r = requests.get(id);
            boolean due = w.now >= r.deadline;
            if (r.open == null || (!due && random.nextInt(25) > 0)) {
                continue;
            }
            Outcome outcome = due ? Outcome.TIMEOUT : Outcome.values()[random.nextInt(9)];
            if (outcome == Outcome.OK && r.closed) {
                outcome = Outcome.CANCELLED;
            }
            boolean concluded = r.closed || outcome == Outcome.OK;
            r.closed = concluded;
            r.mayHaveRun |= !outcome.neverRan();
            Send s = r.open;
            r.open = null;
            int from = w.actions.size();
            w.on(new AttemptEnded(id, s.member(), r.attempts - 1, outcome, random.nextInt(10) == 0, concluded,
                    MS * (1 + random.nextInt(300))));
            check(w, from);
        }
    }

    private void check(World w, int from) {
        for (Action a : List.copyOf(w.actions.subList(from, w.actions.size()))) {
            if (a instanceof Send s) {
                Watched r = requests.get(s.request());
                assertFalse(r.closed, "sent after the final answer");
                assertNull(r.open, "two attempts out at once");
                assertTrue(r.type == 0 || !r.mayHaveRun, "an effect might come twice");
                assertTrue(++r.attempts <= 4, "too many attempts");
                long told = toldOff.getOrDefault(s.member(), Long.MAX_VALUE);
                assertTrue(told == Long.MAX_VALUE || w.now - told <= 500 * MS, "sent to a drained member");
                r.open = s;
            } else if (a instanceof Refuse x) {
                Watched r = requests.get(x.request());
                assertTrue(r.type == 0 || (!r.mayHaveRun && r.open == null), "refused what may have run");
                close(w, r);
            } else if (a instanceof Fail x) {
                close(w, requests.get(x.request()));
            }
        }
    }

    private void close(World w, Watched r) {
        assertFalse(r.closed, "two final answers");
        assertTrue(w.now <= r.deadline + 8 * MS, "too late");
        r.closed = true;
    }

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
            long inWindow = sends.stream().filter(t -> t >= at && t < at + 2000 * MS).count();
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
