package slateseam.tier.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.junitpioneer.jupiter.ExpectedToFail;
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

    @Test
    @ExpectedToFail(
            "verdicts are 128 bytes, a bit for each router: no change that all must take is committed beyond 1,024 routers")
    void thatTwoThousandRoutersTakeAVersionIsTold() {
        assertThat(isTold(ROUTERS)).isTrue();
    }

    private static boolean isTold(int routers) {
        Set<Integer> all = IntStream.range(0, routers).boxed().collect(Collectors.toSet());
        Verdicts teller = new Verdicts();
        teller.begin(VERSION);
        all.forEach(teller::accept);
        Verdicts told = new Verdicts();
        told.begin(VERSION);
        PolicyMessage.Poll poll = poll(teller.bytes(), new int[PolicyMessage.CLASSES], new int[PolicyMessage.CLASSES]);
        if (PolicyMessage.decode(poll.encode()) instanceof PolicyMessage.Poll read) {
            told.take(read);
        }
        return told.hasAll(all);
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
        shares.told((PolicyMessage.Poll) PolicyMessage.decode(poll.encode()), SECOND);
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
