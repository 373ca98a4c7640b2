package slateseam.simulate.tier;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Days of drawn faults; some thousands more are played by {@code simulate supply}. */
class SupplyDaysTest {
    @Test
    void noRuleBreaksInDaysOfFaults() {
        List<String> lines = new ArrayList<>();
        assertThat(TierDays.playSupply(1, 24, lines::add)).as(lines.toString()).isZero();
    }
}
