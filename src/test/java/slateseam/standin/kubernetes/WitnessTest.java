package slateseam.standin.kubernetes;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import slateseam.standin.sockets.Certificates;

/** Shows that the stand-in is taken for an API server by a client that others wrote. */
class WitnessTest {
    @ParameterizedTest
    @CsvSource({"moves, false", "cuts, false", "cuts, true", "gone, false", "gone, true", "losses, false"})
    void anInformerEndsWithTheSameEndpoints(String script, boolean tls) throws Exception {
        Certificates authority = tls ? new Certificates("test authority") : null;
        try (Served served = new Served(tls ? authority.server("127.0.0.1") : null)) {
            CountDownLatch over = served.play(Served.script(script));
            try (Informed informed = new Informed(served.url(), tls ? authority.pem() : null, "sesame", "shop", "caches")) {
                Served.await(over);
                assertThat(served.truth()).isNotEmpty();
                informed.awaitSame(served::truth);
                assertThat(served.net.call(served.server::watches)).isPositive();
            }
        }
    }
}
