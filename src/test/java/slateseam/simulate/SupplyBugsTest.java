package slateseam.simulate;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The bugs planted in the exchange of supply but for one that takes 114 seeds; the main of {@link SupplyBugs} looks for all outside the build. */
class SupplyBugsTest {
    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            a transfer is counted again with each message that tells it | MINTED
            a lost acknowledgement gives the supply back                | MINTED
            what is asked back is used before it is given               | MINTED
            a restart forgets what its partners' books say              | MINTED
            a restart behind a cut uses an even share                   | MINTED
            """)
    void isFound(String name, String rule) {
        PlantedBug bug = SupplyBugs.all().stream()
                .filter(one -> one.name().equals(name))
                .findFirst()
                .orElseThrow();
        assertThat(TierBugs.find("supply", bug, 64))
                .isNotNull()
                .extracting(Planted.Found::rule)
                .isEqualTo(rule);
    }
}
