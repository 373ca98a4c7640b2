package slateseam.simulate.tier;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junitpioneer.jupiter.ExpectedToFail;

/** Days of drawn faults; some thousands more are played by {@code simulate supply}. */
class SupplyDaysTest {
    @Test
    void noRuleBreaksInDaysOfFaults() {
        List<String> lines = new ArrayList<>();
        assertThat(TierDays.playSupply(1, 24, lines::add)).as(lines.toString()).isZero();
    }

    @Test
    @ExpectedToFail("MINTED: a router that starts again carries out what its earlier life was asked for")
    void noSupplyIsMintedWhereARequestMeetsARestartAtSeed416() {
        assertHolds(416);
    }

    @Test
    @ExpectedToFail("MINTED: a router that starts again carries out what its earlier life was asked for")
    void noSupplyIsMintedWhereARequestMeetsARestartAtSeed461() {
        assertHolds(461);
    }

    @Test
    @ExpectedToFail("MINTED, not traced")
    void noSupplyIsMintedAtSeed870135() {
        assertHolds(870_135);
    }

    private static void assertHolds(long seed) {
        List<String> lines = new ArrayList<>();
        assertThat(TierDays.playSupply(seed, seed, lines::add))
                .as(lines.toString())
                .isZero();
    }
}
