package slateseam.simulate.tier;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Days of drawn faults; some thousands more are played by {@code simulate tier}. */
class MembersDaysTest {
    @Test
    void noRuleBreaksInDaysOfFaults() {
        List<String> lines = new ArrayList<>();
        assertThat(TierDays.play(1, 400, lines::add)).as(lines.toString()).isZero();
    }

    /** Two plays of one seed are the same. */
    @Test
    void aSeedIsADay() {
        MembersDay one = new MembersDay(77);
        MembersDay other = new MembersDay(77);
        assertThat(one.play()).isNull();
        assertThat(other.play()).isNull();
        assertThat(one.seen()).isEqualTo(other.seen()).isNotEmpty();
    }

    /** See MembersHardCasesTest.oneThatEndsBeforeItHasHeardAnybodyIsKnownToHaveLeft. */
    @Test
    void allThatCouldHearItKnowThatAMemberEndedAtSeed760430() {
        List<String> lines = new ArrayList<>();
        assertThat(TierDays.play(760_430, 760_430, lines::add))
                .as(lines.toString())
                .isZero();
    }
}
