package slateseam.simulate;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import slateseam.simulate.tier.TierDays;

/** Days of those who agree on a log, and some of the bugs planted there; the main of {@link AgreementBugs} looks for all. */
class AgreementBugsTest {
    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            one votes twice in a term                | TWO_LEADERS
            a log that differs is not cut            | APPLIED_OTHER
            entries are taken without the one before | APPLIED_OTHER
            """)
    void isFound(String name, String rule) {
        PlantedBug bug = AgreementBugs.all().stream()
                .filter(one -> one.name().equals(name))
                .findFirst()
                .orElseThrow();
        assertThat(TierBugs.find("agreement", bug, 64))
                .isNotNull()
                .extracting(Planted.Found::rule)
                .isEqualTo(rule);
    }

    @Test
    void daysOfFaultsBreakNothing() {
        StringBuilder lines = new StringBuilder();
        assertThat(TierDays.playAgreement(1, 600, line -> lines.append(line).append('\n')))
                .as(lines.toString())
                .isZero();
    }
}
