package slateseam.simulate;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import slateseam.simulate.Planted.Found;

/** Some of the planted bugs, each with the seed that is known to find it; the others are looked for outside the build. */
class PlantedBugsTest {
    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            writes a pass that was given up while it waited for its connection | 5 | AFTER_ANSWER
            answers -BUSY after one that may have run                          | 2 | REFUSAL
            gives a late answer to the next request on the connection          | 1 | TWO_AT_ONCE
            """)
    void isFoundReplayedAndShrunk(String name, long seed, String rule, @TempDir Path folder) {
        Planted planted = new Planted(PlantedBug.all().stream().filter(bug -> bug.name().equals(name)).findFirst()
                .orElseThrow());
        assertThat(planted.find(seed, seed, 1)).isEqualTo(new Found(seed, rule));
        String again = PlantedBugsTable.hash(planted.run("replay", Long.toString(seed)).text());
        assertThat(PlantedBugsTable.hash(planted.run("replay", Long.toString(seed)).text())).isEqualTo(again);
        Path file = folder.resolve("smallest.scenario");
        assertThat(planted.run("shrink", Long.toString(seed), "--out", file.toString()).text()).contains("play it with");
        assertThat(planted.run("run", "--scenario", file.toString()).text()).startsWith("seed " + seed + ": " + rule);
        assertThat(new Planted(null).run("run", "--scenario", file.toString()).status()).isZero();
    }
}
