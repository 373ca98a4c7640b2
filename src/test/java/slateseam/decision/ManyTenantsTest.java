package slateseam.decision;

import static org.assertj.core.api.Assertions.assertThat;
import static slateseam.decision.World.MS;

import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import slateseam.decision.Api.*;

/** Tests that with any number of tenants each has a share, which moves to the routers where its requests arrive. */
class ManyTenantsTest {
    /** The highest version number of messages before pages were introduced. */
    private static final int LAST_VERSION_WITHOUT_PAGES = 3;

    private static List<Tenant> tenants(int number) {
        return IntStream.range(0, number)
                .mapToObj(i -> new Tenant("tenant-" + i, 40, 1.0 / number))
                .toList();
    }

    /** Runs four routers; the first gets 100 requests per second of one tenant, whose share of all four is 40. */
    private static Ring ringWithRequests(int number, int tenant, int seconds) {
        Ring ring = new Ring(4, 5, 0.05, 0.05, tenants(number));
        ring.requestingTenant = tenant;
        ring.pass(seconds * 1_000 * MS, 1, 0, 0, 0);
        return ring;
    }

    @ParameterizedTest
    @ValueSource(ints = {13, 14, 16, 24, 25, 1024})
    void theLastTenantsShareMovesToWhereItsRequestsEnter(int number) {
        Ring ring = ringWithRequests(number, number - 1, 60);
        assertThat(ring.total(number)).as("units of all routers").isBetween((long) (0.9 * Account.WHOLE), (long)
                Account.WHOLE);
        assertThat(ring.held(0, number)).as("units where it enters").isGreaterThan(Account.WHOLE / 2);
        assertThat(ring.sentMessages).allMatch(message -> message.payload().length <= 256);
    }

    @Test
    void requestsBeyondAShareAreDetectedForEveryTenant() {
        for (int tenant : new int[] {0, 12, 13, 500, 1023}) {
            World w = new World(World.settings(0, 1, false, tenants(1024)), 3);
            w.fleet(2);
            w.pass(3_000 * MS);
            Map<?, ?> jobs = (Map<?, ?>) SupplyTest.field(w.brain, "requests", "jobs");
            int beyond = 0;
            for (int i = 0; i < 300; i++) {
                long request = w.request(100 + i, 0, tenant);
                beyond += ((Job) jobs.get(request)).overShare ? 1 : 0;
                w.drive(request, Outcome.OK);
            }
            // The burst of 1.5 s, 60 requests, is within the share.
            assertThat(beyond).as("of 300 at once of tenant " + tenant).isBetween(235, 245);
        }
    }

    /** A router that starts uses an even share only until its neighbour has reported the totals of the page. */
    @Test
    void restartedRouterTakesOverTheSharesOfAllPages() {
        Ring ring = ringWithRequests(1024, 1023, 60);
        int before = ring.held(0, 1024);
        ring.start(0);
        ring.pass(8_000 * MS, 1, 0, 0, 0);
        assertThat(ring.held(0, 1024)).isGreaterThan(before * 3 / 4);
        assertThat(ring.total(1024)).isBetween((long) (0.9 * Account.WHOLE), (long) (1.001 * Account.WHOLE));
    }

    @Test
    void sharesOfAVanishedRouterAreInheritedAndReturnWithIt() {
        Ring ring = ringWithRequests(100, 99, 20);
        ring.routers[0] = null;
        ring.pass(3_000 * MS, 0, 1, 0, 0);
        assertThat(ring.total(100)).as("inherited").isBetween((long) (0.85 * Account.WHOLE), (long)
                (1.1 * Account.WHOLE));
        ring.start(0);
        ring.pass(10_000 * MS, 1, 0, 0, 0);
        assertThat(ring.total(100)).as("returned").isBetween((long) (0.85 * Account.WHOLE), (long)
                (1.001 * Account.WHOLE));
    }

    /**
     * A router of a build without pages ignores the pages after the first; the accounts of the first page still move.
     */
    @Test
    void routerOfABuildWithoutPagesUsesTheFirst() {
        Ring ring = new Ring(4, 8, 0, 0, tenants(64));
        double[] misses = {1, 0, 0, 0};
        for (int i = 0; i < 1500; i++) {
            ring.pass(10 * MS, misses);
            ring.inTransit.removeIf(message ->
                    message.payload()[0] > LAST_VERSION_WITHOUT_PAGES && (message.from() == 1 || message.to() == 1));
        }
        assertThat(ring.held(0, 0)).as("the origin's budget").isGreaterThan(Account.WHOLE / 2);
        assertThat(ring.held(0, 1)).as("the first tenant's share").isGreaterThan(Account.WHOLE / 2);
        for (int account : new int[] {0, 1, 13, 14, 64}) {
            assertThat(ring.total(account)).as("account " + account).isBetween((long) (0.9 * Account.WHOLE), (long)
                    Account.WHOLE);
        }
    }

    /** More tenants must not cause more messages than the number of requests justifies. */
    @Test
    void furtherPagesAreSentInTurnAndNoMoreOftenThanRequestsJustify() {
        Ring ring = new Ring(2, 9, 0, 0, tenants(1024));
        ring.pass(20_000 * MS, 0.2, 0.2); // 20 a second at each
        ring.sentMessages.clear();
        ring.pass(20_000 * MS, 0.2, 0.2);
        Map<Integer, Integer> times = new HashMap<>();
        ring.sentMessages.stream()
                .map(message -> message.payload())
                .filter(bytes -> bytes[0] > LAST_VERSION_WITHOUT_PAGES)
                .forEach(bytes -> times.merge(bytes[22] << 8 | bytes[23] & 0xff, 1, Integer::sum));
        int pages = SupplyMessage.pageSizes(1025).size() - 1;
        assertThat(times).hasSize(pages);
        assertThat(Collections.max(times.values()) - Collections.min(times.values()))
                .isLessThanOrEqualTo(2);
        assertThat(ring.sentMessages.size()).as("of some 800 requests").isLessThan(400);
    }

    @Test
    void accountsAreDividedOverPagesWithRoomForKeys() {
        assertThat(SupplyMessage.pageSizes(1)).containsExactly(1);
        assertThat(SupplyMessage.pageSizes(13)).containsExactly(13);
        assertThat(SupplyMessage.pageSizes(14)).containsExactly(14, 0);
        assertThat(SupplyMessage.pageSizes(17)).containsExactly(14, 3);
        assertThat(SupplyMessage.pageSizes(39)).containsExactly(14, 10, 14, 1);
        assertThat(SupplyMessage.keyCapacity(0, 14)).isZero();
        assertThat(SupplyMessage.keyCapacity(1, 10)).isEqualTo(6);
        assertThat(SupplyMessage.keyCapacity(2, 1)).isZero();
        List<Integer> pages = SupplyMessage.pageSizes(39);
        for (int page = 0; page < pages.size(); page++) {
            int size = pages.get(page);
            double[] demand = new double[size];
            Arrays.fill(demand, 1);
            SupplyMessage message = new SupplyMessage(
                    page,
                    true,
                    true,
                    false,
                    1,
                    2,
                    3,
                    4,
                    5,
                    new int[size],
                    new int[size],
                    new int[size],
                    demand,
                    Map.of());
            byte[] bytes = message.encode();
            assertThat(bytes.length).isLessThanOrEqualTo(256);
            assertThat(SupplyMessage.decode(bytes, pages).page()).isEqualTo(page);
            assertThat(SupplyMessage.decode(bytes, pages.subList(0, page)))
                    .as("a page that is not there")
                    .isNull();
            assertThat(SupplyMessage.decode(Arrays.copyOf(bytes, bytes.length - 1), pages))
                    .as("cut off")
                    .isNull();
        }
    }

    /** If the accounts fill the first page, the second carries the popular keys. */
    @Test
    void popularKeysAreSentWhateverTheNumberOfTenants() {
        Ring ring = new Ring(2, 10, 0, 0, tenants(13));
        for (int i = 0; i < 400; i++) {
            ring.pass(10 * MS, 0, 0);
            ring.routers[0].request(77, 0);
            ring.routers[0].request(78, 0);
        }
        KeyCounts heard = (KeyCounts) SupplyTest.field(ring.routers[1].brain, "hotKeys", "counts");
        assertThat(heard.pooledReads(77)).isGreaterThan(100);
    }
}
