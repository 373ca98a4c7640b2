package slateseam.simulate;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Some of the bugs planted in what the tier decides; the main of {@link TierBugs} looks for all of them outside the build. */
class TierBugsTest {
    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            a pause is not noticed           | PAUSE
            one who doubts declares failed   | DOUBT
            a suspicion never ends           | ONE_VIEW
            """)
    void isFound(String name, String rule) {
        PlantedBug bug = TierBugs.all().stream()
                .filter(one -> one.name().equals(name))
                .findFirst()
                .orElseThrow();
        assertThat(TierBugs.find(bug, 256))
                .isNotNull()
                .extracting(Planted.Found::rule)
                .isEqualTo(rule);
    }
}
