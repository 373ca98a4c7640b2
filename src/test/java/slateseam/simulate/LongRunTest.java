package slateseam.simulate;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import slateseam.simulate.PlantedBug.Change;

/** A short long run; and that it finds what grows. */
class LongRunTest {
    private static final long SECONDS = 1_500;

    @Test
    void nothingRisesThroughout() throws Exception {
        assertThat(LongRun.play(SECONDS, 1)).isEmpty();
    }

    @Test
    void aPlantedLeakIsFound() throws Exception {
        Change leak = new Change(
                "src/main/java/slateseam/router/useragent/Requests.java",
                "openIds.remove(asked.id);\n            return asked.answered(answer);",
                "return asked.answered(answer);");
        PlantedBug bug = new PlantedBug("keeps the ids of requests that were answered", null, null, List.of(leak));
        assertThat(new Planted(bug).call("slateseam.simulate.LongRun", "play", SECONDS, 1))
                .contains("Requests.openIds");
    }
}
