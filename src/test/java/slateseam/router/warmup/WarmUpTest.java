package slateseam.router.warmup;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import slateseam.decision.Api.Settings;
import slateseam.router.config.NodeConfig;

class WarmUpTest {
    private final Settings settings =
            NodeConfig.parse(Files.readString(Path.of("examples/config.json"))).settings();
    private long now;

    WarmUpTest() throws Exception {}

    /** A made-up request that were turned away at its first step would warm nothing up. */
    @Test
    void mostOfItsRequestsGoAllTheWay() {
        assertThat(new WarmUp(settings).play(() -> 0, 1)).isGreaterThan(1_000);
    }

    @Test
    void itEndsWhenItsTimeIsOver() {
        assertThat(new WarmUp(settings).play(() -> now += 10, 100)).isBetween(1, 20);
    }
}
