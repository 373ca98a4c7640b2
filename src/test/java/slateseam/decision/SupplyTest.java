package slateseam.decision;

import static org.junit.jupiter.api.Assertions.*;
import static slateseam.decision.World.MS;

import java.lang.reflect.Field;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import slateseam.decision.Api.*;

/** Tests that no supply is created or lost, whatever happens to messages and routers. */
class SupplyTest {
    /** Returns the accounts of a router: the origin's budget, then the tenants' shares. */
    @SuppressWarnings("unchecked")
    static List<Account> accounts(Brain brain) {
        return (List<Account>) field(brain, "budgets", "accounts");
    }

    /** Reads a private field, by a path of field names that starts at the given object. */
    static Object field(Object of, String... path) {
        try {
            for (String name : path) {
                Field field = of.getClass().getDeclaredField(name);
                field.setAccessible(true);
                of = field.get(of);
            }
            return of;
        } catch (ReflectiveOperationException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void transfersNeverMintUnderLossRepetitionAndReordering() {
        for (int n = 2; n <= 7; n++) {
            Ring ring = new Ring(n, n, 0.3, 0.3);
            double[] misses = new double[n];
            Arrays.fill(misses, 1);
            for (int round = 0; round < 20; round++) {
                misses[ring.random.nextInt(n)] = 1 + ring.random.nextInt(3);
                ring.pass(500 * MS, misses);
                for (int account = 0; account < 2; account++) {
                    long total = ring.total(account);
                    assertTrue(total <= Account.WHOLE, "minted " + (total - Account.WHOLE) + " with " + n);
                    assertTrue(total > Account.WHOLE / 2, "lost with " + n + ": " + total);
                }
            }
        }
    }

    @Test
    void supplyFollowsDemandAndItsTotalStays() {
        Ring ring = new Ring(4, 9, 0, 0);
        ring.pass(15_000 * MS, 2, 0, 0, 0);
        long busy = accounts(ring.routers[0].brain).get(0).units;
        assertTrue(busy > Account.WHOLE / 2, "the busy router holds " + busy);
        ring.pass(3_000 * MS, new double[4]);
        assertTrue(Math.abs(ring.total(0) - Account.WHOLE) < Account.WHOLE / 8);
    }

    @Test
    void aDeadRoutersSupplyIsInheritedAndReturnsWithIt() {
        Ring ring = new Ring(4, 11, 0, 0);
        double[] misses = {1, 1, 1, 1};
        ring.pass(3_000 * MS, misses);
        ring.routers[2] = null;
        ring.pass(2_500 * MS, misses); // a planned restart takes little longer
        long inherited = ring.total(0);
        assertTrue(Math.abs(inherited - Account.WHOLE) < Account.WHOLE / 10, "after inheritance " + inherited);
        ring.start(2);
        ring.pass(6_000 * MS, misses);
        assertTrue(Math.abs(ring.total(0) - Account.WHOLE) < Account.WHOLE / 10, "after return " + ring.total(0));
        assertTrue(accounts(ring.routers[2].brain).get(0).units > Account.WHOLE / 8, "got a part again");
    }

    @Test
    void aQuickRestartDoesNotMint() {
        Ring ring = new Ring(3, 12, 0, 0);
        double[] misses = {1, 1, 1};
        ring.pass(3_000 * MS, misses);
        for (int i = 0; i < 5; i++) {
            ring.start(i % 3);
            ring.pass(3_000 * MS, misses);
        }
        assertTrue(ring.total(0) <= Account.WHOLE * 1.1, "total " + ring.total(0));
    }

    /** A router that holds next to nothing of a budget neither raises R nor treats requests as beyond their share. */
    @Test
    void aRouterWithoutItsShareBlamesNeitherTheOriginNorTheTenants() {
        World w = new World(World.settings(0, 2, false, List.of(new Tenant("t", 2, 1))), 3);
        w.fleet(10);
        int receiverRun = (int) field(w.brain, "budgets", "runNumber");
        int[] all = {Account.WHOLE / 2, Account.WHOLE / 2};
        w.on(new PeerMessage(
                1,
                new SupplyMessage(
                                0,
                                false,
                                true,
                                false,
                                5,
                                receiverRun,
                                1,
                                0,
                                40,
                                all,
                                new int[2],
                                new int[2],
                                new double[] {1, 1},
                                Map.of())
                        .encode()));
        double rate = accounts(w.brain).get(0).rate;
        for (int i = 0; i < 300; i++) {
            w.drive(w.request(1000 + i, 0), i < 200 && i % 3 > 0 ? Outcome.FULL : Outcome.OK);
            w.request(5000 + i, 1);
            w.pass(10 * MS);
        }
        assertEquals(0, accounts(w.brain).get(1).units);
        assertEquals(rate, accounts(w.brain).get(0).rate);
        w.pass(5_000 * MS);
        for (int i = 0; i < 10; i++) {
            w.drive(w.request(2000 + i, 0), Outcome.OK);
            assertFalse(w.refused(w.request(3000 + i, 0)));
        }
    }

    @Test
    void aRouterAloneHoldsEverything() {
        assertEquals(Account.WHOLE, accounts(World.single().brain).get(0).units);
    }

    @Test
    void messagesFitAndMalformedOnesAreIgnored() {
        int most = SupplyMessage.MAX_ACCOUNTS;
        double[] demand = new double[most];
        Arrays.fill(demand, 2);
        byte[] bytes = new SupplyMessage(
                        0,
                        true,
                        false,
                        true,
                        5,
                        6,
                        7,
                        8,
                        9,
                        new int[most],
                        new int[most],
                        new int[most],
                        demand,
                        Map.of())
                .encode();
        assertTrue(bytes.length <= 256);
        SupplyMessage back = SupplyMessage.decode(bytes, SupplyMessage.pageSizes(most));
        assertEquals(7, back.sequence());
        assertEquals(2, back.demand()[most - 1]);
        assertNull(SupplyMessage.decode(bytes, SupplyMessage.pageSizes(most - 1)));
        assertNull(SupplyMessage.decode(Arrays.copyOf(bytes, bytes.length - 1), SupplyMessage.pageSizes(most)));
        for (double rate : new double[] {0, -1, Double.NaN, Double.POSITIVE_INFINITY, 1e9}) {
            byte[] absurd = new SupplyMessage(
                            0,
                            true,
                            false,
                            true,
                            5,
                            6,
                            7,
                            8,
                            rate,
                            new int[most],
                            new int[most],
                            new int[most],
                            demand,
                            Map.of())
                    .encode();
            assertNull(SupplyMessage.decode(absurd, SupplyMessage.pageSizes(most)), "a rate of " + rate);
        }
        bytes[0]++;
        assertNull(SupplyMessage.decode(bytes, SupplyMessage.pageSizes(most)), "another version");
    }

    @Test
    void popularKeysAreSentAsFarAsThereIsRoom() {
        KeyCounts keys = new KeyCounts();
        for (long key = 1; key <= 40; key++) {
            for (int i = 0; i < key; i++) {
                keys.read(key);
            }
        }
        int room = SupplyMessage.keyCapacity(0, 3);
        byte[] bytes = new SupplyMessage(
                        0,
                        true,
                        false,
                        true,
                        5,
                        6,
                        7,
                        8,
                        9,
                        new int[3],
                        new int[3],
                        new int[3],
                        new double[] {1, 1, 1},
                        keys.tell(1, room, 0.5))
                .encode();
        assertTrue(bytes.length <= 256);
        Map<Long, Double> told =
                SupplyMessage.decode(bytes, SupplyMessage.pageSizes(3)).popular();
        assertEquals(room, told.size());
        assertEquals(40, told.get(40L));
        assertEquals(821, told.get(0L));
        KeyCounts other = new KeyCounts();
        other.hear(2, told);
        assertEquals(40, other.pooledReads(40));
        assertEquals(20, other.tell(3, room, 0.5).get(40L));
        assertNull(other.tell(2, room, 0.5).get(40L), "not told back");
    }
}
