package slateseam.tier.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import slateseam.tier.policy.PolicyPort.Tally;

/** Poll contents at the number of routers and the request rates that the tier is planned for (docs/CAPACITY.md). */
final class LargeTierPolicyTest {
    private static final int ROUTERS = 2_000;
    private static final int VERSION = 1;
    private static final long SECOND = 1_000_000_000L;

    @ParameterizedTest
    @ValueSource(ints = {5, 400, 1_024})
    void thatAllRoutersTakeAVersionIsTold(int routers) {
        assertThat(allAreReported(routers)).isTrue();
    }

    /**
     * Guards against cutting off the list of accepting routers. A bitmap of at most 128 bytes held only the first
     * 1,024 of 2,000 accepting routers, so that beyond 1,024 routers no version that all must accept was committed;
     * the coordinator aborted each with "did not answer in time".
     */
    @Test
    void thatTwoThousandRoutersTakeAVersionIsTold() {
        assertThat(allAreReported(ROUTERS)).isTrue();
    }

    /**
     * All accepting routers are reported within one message for each 1,024 routers and one more, and no other router
     * is ever reported.
     */
    @ParameterizedTest
    @ValueSource(ints = {1_024, 1_025, 2_000, 8_192})
    void anySetOfRoutersIsToldAndNobodyBeside(int routers) {
        Random random = new Random(routers);
        for (double density : new double[] {0.01, 0.5, 0.99}) {
            AcceptedRouters accepted = new AcceptedRouters();
            Set<Integer> all = new HashSet<>(Set.of(routers - 1));
            IntStream.range(0, routers)
                    .filter(router -> random.nextDouble() < density)
                    .forEach(all::add);
            all.forEach(accepted::add);
            AcceptedRouters received = new AcceptedRouters();
            for (int message = 0; message < routers / 1_024 + 1; message++) {
                byte[] bytes = poll(accepted.encode(), new int[PolicyMessage.CLASSES], new int[PolicyMessage.CLASSES])
                        .encode();
                assertThat(bytes.length).isLessThanOrEqualTo(PolicyMessage.MAX_DATAGRAM_BYTES);
                received.addAll(((PolicyMessage.Poll) PolicyMessage.decode(bytes)).accepted());
            }
            IntStream.range(0, routers)
                    .forEach(router -> assertThat(received.contains(router))
                            .as("router %d", router)
                            .isEqualTo(all.contains(router)));
        }
    }

    /**
     * An earlier build that knows only bitmaps must not read ranges as a bitmap, which would give false acceptances.
     */
    @Test
    void rangesAreOfAKindThatEarlierBuildsPassOver() {
        AcceptedRouters accepted = new AcceptedRouters();
        accepted.add(1_023);
        int[] none = new int[PolicyMessage.CLASSES];
        assertThat(poll(accepted.encode(), none, none).encode()[2]).isZero();
        accepted.add(1_024);
        assertThat(poll(accepted.encode(), none, none).encode()[2]).isEqualTo((byte) PolicyMessage.POLL_WITH_RANGES);
    }

    private static boolean allAreReported(int routers) {
        Set<Integer> all = IntStream.range(0, routers).boxed().collect(Collectors.toSet());
        Verdicts sender = new Verdicts();
        sender.begin(VERSION);
        all.forEach(sender::accept);
        Verdicts received = new Verdicts();
        received.begin(VERSION);
        PolicyMessage.Poll poll =
                poll(sender.encodeAccepted(), new int[PolicyMessage.CLASSES], new int[PolicyMessage.CLASSES]);
        if (PolicyMessage.decode(poll.encode()) instanceof PolicyMessage.Poll read) {
            received.addFrom(read);
        }
        return received.haveAllAccepted(all);
    }

    @Test
    void aFallOfTheServedShareIsSeenInSumsOfTwentyThousandRequestsASecond() {
        assertThat(servedShare(20_000, 10_000)).isBetween(0.45, 0.55);
    }

    @Test
    void aFallOfTheServedShareIsSeenInSumsOfAHundredRoutersAtThePeak() {
        assertThat(servedShare(65_000, 40_000)).isBetween(0.55, 0.68);
    }

    /**
     * Returns the served share that a router without requests of its own computes from the report of another router.
     */
    private static double servedShare(int asked, int served) {
        PolicyMessage.Poll poll = poll(new byte[0], filledWith(asked), filledWith(served));
        Shares shares = new Shares();
        shares.tick(new Tally(new long[PolicyMessage.CLASSES], new long[PolicyMessage.CLASSES], 0), SECOND);
        shares.report((PolicyMessage.Poll) PolicyMessage.decode(poll.encode()), SECOND);
        return (shares.sum(SECOND).shares()[0] & 0xff) / 255.0;
    }

    private static int[] filledWith(int number) {
        int[] numbers = new int[PolicyMessage.CLASSES];
        Arrays.fill(numbers, number);
        return numbers;
    }

    private static PolicyMessage.Poll poll(byte[] accepted, int[] asked, int[] served) {
        return new PolicyMessage.Poll(1, 7, 1, 1, 1, VERSION, accepted, -1, "", asked, served, 0);
    }
}
