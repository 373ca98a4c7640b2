package slateseam;

import static org.assertj.core.api.Assertions.assertThat;
import static slateseam.LoopbackServers.command;
import static slateseam.LoopbackServers.quietly;
import static slateseam.LoopbackServers.write;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Floods and answers that never end, at a process with the deployed memory settings: what it holds at most, and what others
 * notice. Bounds have wide margins, as the machine has other work; the measured figures stand in the review.
 */
@Timeout(120)
class FloodTest {
    /** Of resident memory; deployments name 144 MB and more. */
    private static final long MOST_MIB = 128;
    /** Of the answers to another user agent the slowest in a hundred: what it waits. */
    private static final long MOST_P99_MILLIS = 480;

    private static final int ANSWERS = 150;
    private static final String FACTS = "c=read,t=acme,d=480";
    private static final byte[] PIECE = filled(64 * 1024);
    private static final byte[] MANY_COMMANDS = many(RouterProcess.command("PING"), 16 * 1024);

    @TempDir
    Path dir;

    private final LoopbackServers servers = new LoopbackServers();

    private static byte[] filled(int length) {
        byte[] bytes = new byte[length];
        Arrays.fill(bytes, (byte) 'x');
        return bytes;
    }

    private static byte[] many(byte[] one, int times) {
        byte[] all = new byte[one.length * times];
        for (int i = 0; i < times; i++) {
            System.arraycopy(one, 0, all, i * one.length, one.length);
        }
        return all;
    }

    @AfterEach
    void end() throws Exception {
        servers.close();
    }

    /** A cache that has each key, but for those that miss; some keys' answers never end. */
    private void cache(Socket socket) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        socket.setTcpNoDelay(true);
        for (List<String> command; !servers.isOver() && (command = command(in)) != null; ) {
            String key = command.size() > 1 ? command.get(1) : "";
            if (command.size() == 1) {
                write(out, "+PONG\r\n");
            } else if (key.startsWith("miss")) {
                write(out, "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n");
            } else if (key.startsWith("endless-value")) {
                write(out, "*3\r\n$4000000\r\n");
                endless(out, PIECE);
            } else if (key.startsWith("endless-line")) {
                write(out, "-ERR ");
                endless(out, PIECE);
            } else if (key.startsWith("endless-items")) {
                write(out, "*1000000\r\n$1\r\nv\r\n");
                endless(out, many(":1\r\n".getBytes(StandardCharsets.US_ASCII), 4_096));
            } else {
                write(out, "*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$-1\r\n");
            }
        }
    }

    /** An origin of which no answer ends: heads, bodies with chunks, bodies without a length. */
    private void origin(Socket socket) throws IOException {
        String first = RouterProcess.line(new BufferedInputStream(socket.getInputStream()));
        OutputStream out = socket.getOutputStream();
        write(out, "HTTP/1.1 200 OK\r\n");
        if (first.contains("heads")) {
            endless(out, many("X-Head: x\r\n".getBytes(StandardCharsets.US_ASCII), 1_024));
        } else if (first.contains("chunks")) {
            write(out, "Transfer-Encoding: chunked\r\n\r\n");
            endless(out, many("1\r\nx\r\n".getBytes(StandardCharsets.US_ASCII), 4_096));
        } else {
            write(out, "\r\n");
            endless(out, PIECE);
        }
    }

    /** A discovery whose list never ends. */
    private void discovery(Socket socket) throws IOException {
        RouterProcess.line(socket.getInputStream());
        write(socket.getOutputStream(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        endless(socket.getOutputStream(), many("1\r\n \r\n".getBytes(StandardCharsets.US_ASCII), 4_096));
    }

    private void endless(OutputStream out, byte[] piece) throws IOException {
        while (!servers.isOver()) {
            out.write(piece);
        }
    }

    /** Does something on one connection after another until all is over. */
    private void flood(RouterProcess router, LoopbackServers.Talk talk) {
        servers.submit(() -> {
            while (!servers.isOver()) {
                quietly(router.connect(), talk);
            }
            return null;
        });
    }

    private static void request(Socket socket, String key) throws IOException {
        socket.getOutputStream().write(RouterProcess.command("CACHE.GET", key, "id" + System.nanoTime(), FACTS));
        RouterProcess.line(socket.getInputStream());
    }

    /** What a user agent meets that asks for one value after another, each in its time. */
    private static final class Asker {
        private final Histogram micros = new Histogram(3);
        private int served;

        private void asks(RouterProcess router) throws IOException {
            try (Socket socket = router.connect()) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                byte[] command = RouterProcess.command("CACHE.GET", "key", "id", FACTS);
                for (int i = 0; i < ANSWERS; i++) {
                    long begin = System.nanoTime();
                    socket.getOutputStream().write(command);
                    String first = RouterProcess.line(in);
                    if (first.equals("$5")) {
                        assertThat(RouterProcess.line(in)).isEqualTo("value");
                        served++;
                    } else {
                        assertThat(first).startsWith("-BUSY");
                    }
                    micros.recordValue((System.nanoTime() - begin) / 1_000);
                }
            }
        }
    }

    private RouterProcess start(int discovery) throws IOException {
        Path jar = RouterProcess.jar(dir.resolve("slateseam.jar"), null);
        return RouterProcess.start(
                        jar,
                        dir,
                        RouterProcess.config(
                                servers.listen(this::cache), servers.listen(this::origin), discovery, 1_024),
                        "")
                .awaitServing();
    }

    /** Asks under floods, and says what part of the answers were values. */
    private static double servedUnderFlood(RouterProcess router) throws IOException {
        Asker asker = new Asker();
        asker.asks(router);
        assertThat(asker.micros.getValueAtPercentile(99) / 1_000)
                .as("ms of the slowest answer in a hundred")
                .isLessThan(MOST_P99_MILLIS);
        assertThat(router.mostResidentMib()).as("MiB resident at most").isLessThan(MOST_MIB);
        assertThat(router.isAlive()).isTrue();
        return (double) asker.served / ANSWERS;
    }

    @Test
    void clientsThatSendMuchAtOnceAndGoOrNeverEndTheirCommands() throws Exception {
        try (RouterProcess router = start(1)) {
            flood(router, socket -> socket.getOutputStream().write(MANY_COMMANDS));
            flood(router, socket -> endless(socket.getOutputStream(), MANY_COMMANDS));
            flood(router, socket -> endless(socket.getOutputStream(), PIECE));
            flood(router, socket -> {
                write(
                        socket.getOutputStream(),
                        "*5\r\n$9\r\nCACHE.SET\r\n$1\r\nk\r\n$1\r\ni\r\n$7\r\nc=put,d\r\n$4000000\r\n");
                for (int i = 0; i < 60; i++) {
                    socket.getOutputStream().write(PIECE);
                }
                RouterProcess.line(socket.getInputStream());
            });
            assertThat(servedUnderFlood(router)).isEqualTo(1);
        }
    }

    @Test
    void serversAndDiscoveryWhoseAnswersNeverEnd() throws Exception {
        try (RouterProcess router = start(servers.listen(this::discovery))) {
            for (String key : List.of("endless-value", "endless-items", "miss-heads", "miss-chunks", "miss-body")) {
                flood(router, socket -> {
                    while (!servers.isOver()) {
                        request(socket, key);
                    }
                });
            }
            // The one cache is the bad one too: what it is not asked for is refused, in time.
            assertThat(servedUnderFlood(router)).isPositive();
        }
    }
}
