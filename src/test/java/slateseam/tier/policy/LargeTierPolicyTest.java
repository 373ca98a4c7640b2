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

/** What routers tell one another of a change, at the number of routers and requests to plan for (docs/CAPACITY.md). */
final class LargeTierPolicyTest {
    private static final int ROUTERS = 2_000;
    private static final int VERSION = 1;
    private static final long SECOND = 1_000_000_000L;

    @ParameterizedTest
    @ValueSource(ints = {5, 400, 1_024})
    void thatAllRoutersTakeAVersionIsTold(int routers) {
        assertThat(isTold(routers)).isTrue();
    }

    /**
     * What happened: no change that all must take was committed beyond 1,024 routers; the coordinator gave up after its patience with "did
     * not answer in time". Why: who has accepted was told as a bit for each router in at most 128 bytes, and further ones were cut off.
     * What showed it: 2,000 accepted, 1,024 of them were in what the message told.
     */
    @Test
    void thatTwoThousandRoutersTakeAVersionIsTold() {
        assertThat(isTold(ROUTERS)).isTrue();
    }

    /** Whoever has accepted is told within one message for each 1,024 routers and one more, and nobody else ever. */
    @ParameterizedTest
    @ValueSource(ints = {1_024, 1_025, 2_000, 8_192})
    void anySetOfRoutersIsToldAndNobodyBeside(int routers) {
        Random random = new Random(routers);
        for (double part : new double[] {0.01, 0.5, 0.99}) {
            AcceptedRouters accepted = new AcceptedRouters();
            Set<Integer> all = new HashSet<>(Set.of(routers - 1));
            IntStream.range(0, routers)
                    .filter(router -> random.nextDouble() < part)
                    .forEach(all::add);
            all.forEach(accepted::add);
            AcceptedRouters told = new AcceptedRouters();
            for (int message = 0; message < routers / 1_024 + 1; message++) {
                byte[] bytes = poll(accepted.encode(), new int[PolicyMessage.CLASSES], new int[PolicyMessage.CLASSES])
                        .encode();
                assertThat(bytes.length).isLessThanOrEqualTo(PolicyMessage.MAX_DATAGRAM_BYTES);
                told.addAll(((PolicyMessage.Poll) PolicyMessage.decode(bytes)).accepted());
            }
            IntStream.range(0, routers)
                    .forEach(router -> assertThat(told.contains(router))
                            .as("router %d", router)
                            .isEqualTo(all.contains(router)));
        }
    }

    /** A build that knows bits alone must not read ranges as such: it would take routers for ones that have accepted. */
    @Test
    void rangesAreOfAKindThatEarlierBuildsPassOver() {
        AcceptedRouters accepted = new AcceptedRouters();
        accepted.add(1_023);
        int[] none = new int[PolicyMessage.CLASSES];
        assertThat(poll(accepted.encode(), none, none).encode()[2]).isZero();
        accepted.add(1_024);
        assertThat(poll(accepted.encode(), none, none).encode()[2]).isEqualTo((byte) PolicyMessage.POLL_WITH_RANGES);
    }

    private static boolean isTold(int routers) {
        Set<Integer> all = IntStream.range(0, routers).boxed().collect(Collectors.toSet());
        Verdicts teller = new Verdicts();
        teller.begin(VERSION);
        all.forEach(teller::accept);
        Verdicts told = new Verdicts();
        told.begin(VERSION);
        PolicyMessage.Poll poll =
                poll(teller.encodeAccepted(), new int[PolicyMessage.CLASSES], new int[PolicyMessage.CLASSES]);
        if (PolicyMessage.decode(poll.encode()) instanceof PolicyMessage.Poll read) {
            told.addFrom(read);
        }
        return told.haveAllAccepted(all);
    }

    @Test
    void aFallOfTheServedShareIsSeenInSumsOfTwentyThousandRequestsASecond() {
        assertThat(servedShare(20_000, 10_000)).isBetween(0.45, 0.55);
    }

    @Test
    void aFallOfTheServedShareIsSeenInSumsOfAHundredRoutersAtThePeak() {
        assertThat(servedShare(65_000, 40_000)).isBetween(0.55, 0.68);
    }

    /** What a router that asks nothing itself takes for the served share of the one below it. */
    private static double servedShare(int asked, int served) {
        PolicyMessage.Poll poll = poll(new byte[0], filled(asked), filled(served));
        Shares shares = new Shares();
        shares.tick(new Tally(new long[PolicyMessage.CLASSES], new long[PolicyMessage.CLASSES], 0), SECOND);
        shares.report((PolicyMessage.Poll) PolicyMessage.decode(poll.encode()), SECOND);
        return (shares.sum(SECOND).shares()[0] & 0xff) / 255.0;
    }

    private static int[] filled(int number) {
        int[] numbers = new int[PolicyMessage.CLASSES];
        Arrays.fill(numbers, number);
        return numbers;
    }

    private static PolicyMessage.Poll poll(byte[] accepted, int[] asked, int[] served) {
        return new PolicyMessage.Poll(1, 7, 1, 1, 1, VERSION, accepted, -1, "", asked, served, 0);
    }
}
