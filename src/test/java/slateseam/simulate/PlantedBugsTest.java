package slateseam.simulate;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import slateseam.simulate.Planted.Found;

/** Some of the planted bugs; {@link PlantedBugsTable} looks for all of them outside the build. */
class PlantedBugsTest {
    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            sends to a draining server                                | DRAIN
            gives a late answer to the next request on the connection | TWO_AT_ONCE
            """)
    void isFoundReplayedAndShrunk(String name, String rule, @TempDir Path folder) {
        Planted planted = new Planted(PlantedBug.all().stream()
                .filter(bug -> bug.name().equals(name))
                .findFirst()
                .orElseThrow());
        Found found = planted.find(1, 32, 4);
        assertThat(found.rule()).isEqualTo(rule);
        String seed = Long.toString(found.seed());
        String again = PlantedBugsTable.hash(planted.run("replay", seed).text());
        assertThat(PlantedBugsTable.hash(planted.run("replay", seed).text())).isEqualTo(again);
        Path file = folder.resolve("smallest.scenario");
        assertThat(planted.run("shrink", seed, "--out", file.toString()).text()).contains("play it with");
        assertThat(planted.run("run", "--scenario", file.toString()).text()).startsWith("seed " + seed + ": " + rule);
        assertThat(new Planted(null).run("run", "--scenario", file.toString()).status())
                .isZero();
    }
}
