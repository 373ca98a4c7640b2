package slateseam.decision;

import static org.assertj.core.api.Assertions.assertThat;
import static slateseam.decision.World.MS;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junitpioneer.jupiter.ExpectedToFail;
import slateseam.decision.Api.*;

/**
 * One tenant that misbehaves within the protocol, and what the other one gets beside the same run without it. Four routers
 * in their ring, one origin of 60 fetches a second; {@code main} prints the table of the review.
 */
class NoisyTenantTest {
    private static final int ROUTERS = 4;
    private static final int ORIGIN_A_SECOND = 60;
    private static final int SECONDS = 40;
    /** Reads a second of the tenant that behaves, at each router. */
    private static final int GOOD = 30;
    /** Requests a second of the other, over all routers; its share is 40. */
    private static final int BAD = 600;

    /** What the other tenant does. */
    enum Habit {
        NOTHING,
        KEYS_THAT_MISS,
        NEW_KEYS,
        WRITES,
        COMES_AGAIN_AT_ONCE
    }

    /** What was seen: of the good tenant's reads the part served, refused, its fetches; the other's fetches a second. */
    record Seen(
            double served, double refused, double fetches, double otherFetches, double leastFill, double mostFill) {}

    private record Asked(int router, int tenant, long key, boolean write) {}

    private final Random random = new Random(7);
    private final World[] worlds = new World[ROUTERS];
    private final Map<Long, Asked> asked = new HashMap<>();
    private final Set<Long> stored = new HashSet<>();
    private final List<Object[]> letters = new ArrayList<>();
    private final int[] counts = new int[4];
    private long now = 1_000_000 * MS;
    private long next = 1;
    private double tokens;

    Seen play(Habit habit, boolean byOne) {
        for (int i = 0; i < ROUTERS; i++) {
            worlds[i] = new World(
                    World.settings(
                            i, ROUTERS, false, List.of(new Tenant("good", 200, 0.8), new Tenant("bad", 40, 0.2))),
                    i,
                    now);
            worlds[i].fleet(6);
        }
        int goodAsked = 0;
        int[] otherFetches = new int[1];
        double least = 1;
        double most = 0;
        for (int step = 0; step < SECONDS * 100; step++) {
            now += 10 * MS;
            tokens = Math.min(20, tokens + ORIGIN_A_SECOND / 100.0);
            for (int i = 0; i < ROUTERS; i++) {
                worlds[i].now = now;
                if (random.nextInt(100) < GOOD) {
                    boolean counted = step > 1_000;
                    goodAsked += counted ? 1 : 0;
                    ask(i, 0, 1 + (long) (Math.pow(random.nextDouble(), 3) * 400), false, counted);
                }
                int bad = habit == Habit.NOTHING ? 0 : byOne ? i == 0 ? BAD : 0 : BAD / ROUTERS;
                for (double n = bad / 100.0; n > random.nextDouble(); n--) {
                    long key = habit == Habit.NEW_KEYS ? 1_000_000 + next : 5_000 + random.nextInt(50);
                    ask(i, 1, key, habit == Habit.WRITES, false);
                }
                worlds[i].on(new TimerFired(1));
            }
            settle(habit, otherFetches);
            if (step > 1_000 && step % 100 == 0) {
                for (World w : worlds) {
                    double part = (double) SupplyTest.accounts(w.brain).get(0).held() / Account.WHOLE;
                    least = Math.min(least, part);
                    most = Math.max(most, part);
                }
            }
        }
        double seconds = SECONDS - 10;
        return new Seen(
                (double) counts[0] / goodAsked,
                (double) counts[1] / goodAsked,
                counts[2] / seconds,
                otherFetches[0] / (double) SECONDS,
                least,
                most);
    }

    private void ask(int router, int tenant, long key, boolean write, boolean counted) {
        long id = next++;
        asked.put(id, new Asked(router, counted ? tenant : tenant + 10, key, write));
        worlds[router].on(new RequestArrived(id, key, tenant, write ? 1 : 0, write, false, 0, 1000 * MS));
    }

    /** Carries out what the routers ask for, until they ask for nothing more. */
    private void settle(Habit habit, int[] otherFetches) {
        for (boolean more = true; more; ) {
            more = false;
            for (int i = 0; i < ROUTERS; i++) {
                List<Action> actions = List.copyOf(worlds[i].actions);
                worlds[i].actions.clear();
                for (Action action : actions) {
                    more |= carryOut(habit, i, action, otherFetches);
                }
            }
        }
        List<Object[]> due = letters.stream().filter(l -> (long) l[3] <= now).toList();
        letters.removeAll(due);
        due.forEach(l -> worlds[(int) l[1]].on(new PeerMessage((int) l[0], (byte[]) l[2])));
    }

    private boolean carryOut(Habit habit, int router, Action action, int[] otherFetches) {
        if (action instanceof TellPeer tell) {
            letters.add(new Object[] {router, tell.to(), tell.payload(), now + (3 + random.nextInt(30)) * MS});
        } else if (action instanceof Send send) {
            Asked of = asked.get(send.request());
            boolean origin = send.member() == World.ORIGIN;
            Outcome outcome = origin
                    ? tokens >= 1 ? Outcome.OK : Outcome.FULL
                    : stored.contains(of.key * 100 + send.member()) ? Outcome.OK : Outcome.MISS;
            if (origin && outcome == Outcome.OK) {
                tokens--;
                counts[2] += of.tenant == 0 ? 1 : 0;
                otherFetches[0] += of.tenant == 11 ? 1 : 0;
                boolean kept = !of.write && !(of.tenant == 11 && habit == Habit.KEYS_THAT_MISS);
                for (int c = 10; kept && c < 16; c++) {
                    stored.add(of.key * 100 + c);
                }
            }
            int attempt = (int) attempts.merge(send.request(), 1, Integer::sum) - 1;
            worlds[router].on(new AttemptEnded(
                    send.request(),
                    send.member(),
                    attempt,
                    outcome,
                    false,
                    outcome == Outcome.OK,
                    origin ? 60 * MS : 5 * MS));
            counts[0] += outcome == Outcome.OK && of.tenant == 0 ? 1 : 0;
            return true;
        } else if (action instanceof Refuse refuse) {
            Asked of = asked.get(refuse.request());
            counts[1] += of.tenant == 0 ? 1 : 0;
            if (habit == Habit.COMES_AGAIN_AT_ONCE && of.tenant == 11 && random.nextInt(10) > 0) {
                ask(router, 1, of.key, false, false);
                return true;
            }
        }
        return false;
    }

    private final Map<Long, Integer> attempts = new HashMap<>();

    private static double lost(Habit habit, boolean byOne) {
        return new NoisyTenantTest().play(Habit.NOTHING, false).served()
                - new NoisyTenantTest().play(habit, byOne).served();
    }

    @ParameterizedTest
    @EnumSource(value = Habit.class, names = "NOTHING", mode = EnumSource.Mode.EXCLUDE)
    void theOtherTenantKeepsItsServiceWhereItEntersByAllRouters(Habit habit) {
        assertThat(lost(habit, false)).isLessThan(0.03);
    }

    @Test
    void oneThatComesAgainAtOnceTakesNothingByOneRouterEither() {
        assertThat(lost(Habit.COMES_AGAIN_AT_ONCE, true)).isLessThan(0.03);
    }

    /** The ring brings supply to where misses are, whoever's they are: 10% of the other tenant's reads are refused. */
    @Test
    @ExpectedToFail("open: what is beyond a share draws supply like what is within (docs/hardening-review.md)")
    void oneThatMissesAtOneRouterLeavesTheOthersTheirSupply() {
        assertThat(lost(Habit.NEW_KEYS, true)).isLessThan(0.03);
    }

    public static void main(String[] args) {
        System.out.println(
                "| the other tenant | enters by | good served | good refused | good fetches/s | other's fetches/s"
                        + " | parts of supply |\n| --- | --- | --- | --- | --- | --- | --- |");
        for (Habit habit : Habit.values()) {
            for (boolean byOne : habit == Habit.NOTHING ? new boolean[] {false} : new boolean[] {false, true}) {
                Seen seen = new NoisyTenantTest().play(habit, byOne);
                System.out.printf(
                        Locale.ROOT,
                        "| %s | %s | %.3f | %.3f | %.1f | %.1f | %.2f..%.2f |%n",
                        habit.name().toLowerCase(Locale.ROOT).replace('_', ' '),
                        byOne ? "one" : "all",
                        seen.served(),
                        seen.refused(),
                        seen.fetches(),
                        seen.otherFetches(),
                        seen.leastFill(),
                        seen.mostFill());
            }
        }
    }
}
