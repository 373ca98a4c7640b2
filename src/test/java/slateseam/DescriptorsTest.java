package slateseam;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import slateseam.simulate.Planted;

/** A process whose descriptors are all taken, by its own bound or by the system's: it waits, and serves when there is room. */
@Timeout(120)
class DescriptorsTest {
    private static final byte[] PING = RouterProcess.command("PING");
    /** Of the second in which it is watched; one that spins takes what the machine gives it. */
    private static final long MOST_MILLIS = 250;

    private static final int NOBODY = 1;

    @TempDir
    Path dir;

    private final List<Socket> open = new ArrayList<>();

    @AfterEach
    void close() throws IOException {
        for (Socket socket : open) {
            socket.close();
        }
    }

    /** Fills it with user agents that rest, and says what processor time it takes within a second of that state. */
    private long millisOfASecond(RouterProcess router, String full) throws Exception {
        assertThat(RouterProcess.ask(connect(router), PING)).isEqualTo("+PONG");
        for (int i = 0; i < 200; i++) {
            connect(router).getOutputStream().write(PING);
        }
        router.awaitLine(full);
        Socket quiet = connect(router);
        quiet.setSoTimeout(1_000);
        long before = router.processorMillis();
        try {
            assertThat(quiet.getInputStream().read())
                    .as("a connection that cannot be accepted")
                    .isNegative();
        } catch (SocketTimeoutException e) {
            // Nothing came for a second, as was to be.
        }
        return router.processorMillis() - before;
    }

    private Socket connect(RouterProcess router) throws IOException {
        Socket socket = router.connect();
        open.add(socket);
        return socket;
    }

    private RouterProcess start(Path planted, int sockets, int limit) throws IOException {
        Path jar = RouterProcess.jar(dir.resolve("slateseam.jar"), planted);
        return RouterProcess.start(
                        jar, dir, RouterProcess.config(NOBODY, NOBODY, NOBODY, sockets), "ulimit -n " + limit + "; ")
                .awaitServing();
    }

    @Test
    void aProcessWithoutDescriptorsDoesNotSpinAndServesWhenThereIsOne() throws Exception {
        try (RouterProcess router = start(null, 1_024, 96)) {
            assertThat(millisOfASecond(router, "accept-failed")).isLessThan(MOST_MILLIS);
            close();
            open.clear();
            assertThat(RouterProcess.ask(connect(router), PING)).isEqualTo("+PONG");
        }
    }

    @Test
    void aProcessWhoseOwnBoundIsReachedDoesNotSpin() throws Exception {
        try (RouterProcess router = start(null, 128, 1_024)) {
            assertThat(millisOfASecond(router, "user-agents-full")).isLessThan(MOST_MILLIS);
        }
    }

    @Test
    void aLoopThatSpinsIsFound() throws Exception {
        Path planted = Planted.write(
                dir.resolve("planted"),
                "listens on though it can take nothing",
                "router/useragent/Acceptor",
                "        key.interestOps(0);\n",
                "");
        try (RouterProcess router = start(planted, 1_024, 96)) {
            assertThat(millisOfASecond(router, "accept-failed")).isGreaterThan(MOST_MILLIS);
        }
    }
}
