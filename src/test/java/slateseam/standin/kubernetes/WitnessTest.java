package slateseam.standin.kubernetes;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import slateseam.standin.sockets.Certificates;

/** Shows that the stand-in is taken for an API server by a client that others wrote. */
class WitnessTest {
    @ParameterizedTest
    @CsvSource({
        "moves, false, 1",
        "cuts, false, 6",
        "cuts, true, 6",
        "gone, false, 4",
        "gone, true, 4",
        "losses, true, 3"
    })
    void anInformerEndsWithTheSameEndpoints(String script, boolean tls, long leastWatches) throws Exception {
        Certificates authority = tls ? new Certificates("test authority") : null;
        try (Served served = new Served(tls ? authority.server("127.0.0.1") : null)) {
            CountDownLatch over = served.play(Served.script(script));
            String ca = tls ? authority.pem() : null;
            try (Informed informed = new Informed(served.url(), ca, "sesame", "shop", "caches")) {
                Served.await(over);
                assertThat(served.truth("caches")).isNotEmpty();
                informed.awaitSame(() -> served.truth("caches"));
                assertThat(served.net.call(served.server::watches)).isGreaterThanOrEqualTo(leastWatches);
            }
        }
    }
}
