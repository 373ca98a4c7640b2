package slateseam.simulate.tier;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Plays membership under random faults for several seeds; the command {@code simulate tier} plays thousands more. */
class MembersDaysTest {
    @Test
    void noRuleIsViolatedUnderRandomFaults() {
        List<String> lines = new ArrayList<>();
        assertThat(TierDays.play(1, 400, lines::add)).as(lines.toString()).isZero();
    }

    /** The same seed gives the same run twice. */
    @Test
    void sameSeedGivesTheSameRun() {
        MembersDay one = new MembersDay(77);
        MembersDay other = new MembersDay(77);
        assertThat(one.play()).isNull();
        assertThat(other.play()).isNull();
        assertThat(one.seen()).isEqualTo(other.seen()).isNotEmpty();
    }

    /**
     * A member that ended 65 ms after its start, before it had heard any other, was taken for failed; see {@link
     * MembersHardCasesTest}.
     */
    @Test
    void shutdownRightAfterStartIsKnownAtSeed760430() {
        List<String> lines = new ArrayList<>();
        assertThat(TierDays.play(760_430, 760_430, lines::add))
                .as(lines.toString())
                .isZero();
    }
}
