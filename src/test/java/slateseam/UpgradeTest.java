package slateseam;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Two real processes of one router, with user agents that come all the while. */
@Timeout(120)
class UpgradeTest {
    /** The system resets what comes up between the last look into the queue and the close; none in some 5,000 was seen. */
    private static final int SYSTEMS_OWN = 2;

    @TempDir
    Path dir;

    private final List<Process> processes = new ArrayList<>();
    /** Holds the port without listening, so that no other test gets it. */
    private final SocketChannel port = SocketChannel.open()
            .setOption(StandardSocketOptions.SO_REUSEPORT, true)
            .bind(new InetSocketAddress("127.0.0.1", 0));

    private final int listen = ((InetSocketAddress) port.getLocalAddress()).getPort();

    /** A listener of our own, which must not keep the second process from starting. */
    private final int tap;

    UpgradeTest() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            tap = free.getLocalPort();
        }
    }

    private final class Running {
        final Process process;
        final BufferedReader err;
        final int control;

        Running() throws IOException {
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                control = free.getLocalPort();
            }
            String config = Files.readString(Path.of("examples/config.json"))
                    .replace("127.0.0.1:6379", "127.0.0.1:" + listen)
                    .replace("127.0.0.1:7946", "127.0.0.1:0")
                    .replaceFirst("(?s)\"hosts\": \\[.*?\\]", "\"hosts\": []");
            ProcessBuilder builder = new ProcessBuilder(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-cp",
                    System.getProperty("java.class.path"),
                    "slateseam.Main",
                    "serve",
                    "--config",
                    Files.writeString(dir.resolve("config.json"), config).toString(),
                    "--features",
                    Files.writeString(dir.resolve("slateseam.conf"), "tap_port " + tap + "\n")
                            .toString());
            builder.environment().put("TMPDIR", dir.toString());
            builder.environment().put("NODE_CONTROL", "127.0.0.1:" + control);
            process = builder.start();
            processes.add(process);
            err = new BufferedReader(new InputStreamReader(process.getErrorStream(), StandardCharsets.UTF_8));
        }

        void logs(String text) throws IOException {
            String line;
            do {
                line = err.readLine();
                assertThat(line).as(text).isNotNull();
            } while (!line.contains(text));
        }

        void signal(String name) throws Exception {
            assertThat(new ProcessBuilder("sh", "-c", "kill -" + name + " " + process.pid())
                            .start()
                            .waitFor())
                    .isZero();
        }

        void saysYes() throws IOException {
            try (Socket socket = new Socket("127.0.0.1", control)) {
                socket.getOutputStream().write("GET /healthcheck HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                assertThat(new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII))
                        .startsWith("HTTP/1.1 200 ");
            }
        }
    }

    @AfterEach
    void end() throws Exception {
        for (Process process : processes) {
            process.destroyForcibly().waitFor();
        }
        port.close();
    }

    /** New connections, one after another, each with a PING; those that did not get their answer are counted. */
    private Thread comers(AtomicBoolean goOn, AtomicInteger served, AtomicInteger lost) {
        Thread thread = new Thread(() -> {
            while (goOn.get()) {
                try (Socket socket = new Socket("127.0.0.1", listen)) {
                    socket.getOutputStream().write("*1\r\n$4\r\nPING\r\n".getBytes(StandardCharsets.US_ASCII));
                    (socket.getInputStream().read() == '+' ? served : lost).incrementAndGet();
                } catch (IOException e) {
                    lost.incrementAndGet();
                }
            }
        });
        thread.start();
        return thread;
    }

    @Test
    void nobodyIsTurnedAwayWhileOneProcessTakesOverFromAnother() throws Exception {
        Running serving = new Running();
        serving.logs("serving: at ");
        AtomicBoolean goOn = new AtomicBoolean(true);
        AtomicInteger served = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        Thread comers = comers(goOn, served, lost);
        for (int i = 0; i < 3; i++) {
            Running next = new Running();
            next.logs("another process of this router serves");
            next.logs("serving: at ");
            next.saysYes();
            serving.signal("TERM");
            next.logs("from HEIR to SUCCESSOR");
            assertThat(serving.process.waitFor()).isEqualTo(143);
            next.logs("from SUCCESSOR to SOLE");
            serving = next;
        }
        goOn.set(false);
        comers.join();
        serving.saysYes();
        assertThat(served.get()).isPositive();
        assertThat(lost.get()).as("of " + served).isLessThanOrEqualTo(SYSTEMS_OWN);
    }

    @Test
    void whicheverIsKilledTheOtherGoesOn() throws Exception {
        Running first = new Running();
        first.logs("serving: at ");
        Running heir = new Running();
        first.logs("from SOLE to PREDECESSOR");
        heir.signal("KILL");
        first.logs("from PREDECESSOR to SOLE");
        Running second = new Running();
        second.logs("serving: at ");
        first.signal("KILL");
        second.logs("from HEIR to SOLE");
        second.saysYes();
        // Killed while it hands over: the next has what it needs all the same.
        Running third = new Running();
        third.logs("serving: at ");
        second.signal("TERM");
        second.signal("KILL");
        third.logs("to S");
        third.saysYes();
    }
}
