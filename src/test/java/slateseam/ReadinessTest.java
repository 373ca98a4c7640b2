package slateseam;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Routers that start together, by the deployed line with its archive of classes and whatever discovery does: each is ready, and
 * answers PING, in time. At a tenth of a core a start lasts as long as ten times its processor time. {@link #main} starts as
 * many as it is told and prints what it measured.
 */
@Timeout(120)
class ReadinessTest {
    /** A start counts as in time up to this. */
    private static final long READY_MILLIS = 10_000;
    /** Of a core that a process may have. */
    private static final double PART_OF_A_CORE = 0.1;
    /** What a router waits for a discovery that says nothing, whatever its part of a core is. */
    private static final long SILENT_MILLIS = 500;

    private static final byte[] PING = RouterProcess.command("PING");
    private static final int NOBODY = 1;

    /** What discovery does while routers start. */
    private enum Discovery {
        /** Nobody listens. */
        REFUSED,
        /** Connections come up, and nothing is said on them. */
        SILENT,
        /** Connections do not come up: the queue is full. */
        DOWN,
        /** The list comes a byte at a time. */
        SLOW,
        /** The list comes at once. */
        THERE
    }

    @TempDir
    Path dir;

    private final List<ServerSocket> listeners = new ArrayList<>();
    private final List<Socket> queued = new ArrayList<>();

    /**
     * A start as it was measured.
     *
     * @param millis from the start of the process to its answer to PING
     * @param processorMillis what it had used of the processor by then
     * @param mib resident memory by then
     */
    private record Start(Discovery discovery, long millis, long processorMillis, long mib) {
        /** How long it would have lasted at its part of a core. */
        long derivedMillis() {
            return (long) (processorMillis / PART_OF_A_CORE) + SILENT_MILLIS;
        }
    }

    private int discovery(Discovery kind) throws IOException {
        if (kind == Discovery.REFUSED) {
            return NOBODY;
        }
        ServerSocket listener = new ServerSocket(0, kind == Discovery.DOWN ? 1 : 200, InetAddress.getLoopbackAddress());
        listeners.add(listener);
        if (kind == Discovery.DOWN) {
            for (int i = 0; i < 2; i++) {
                queued.add(new Socket(listener.getInetAddress(), listener.getLocalPort())); // what comes behind waits
            }
        } else if (kind != Discovery.SILENT) {
            Thread teller = new Thread(() -> tell(listener, kind), "discovery");
            teller.setDaemon(true);
            teller.start();
        }
        return listener.getLocalPort();
    }

    private void tell(ServerSocket listener, Discovery kind) {
        String list = "{\"seq\":41,\"whole\":true,\"hosts\":[]}";
        byte[] answer = ("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                .getBytes(StandardCharsets.US_ASCII);
        while (!listener.isClosed()) {
            try {
                Socket call = listener.accept();
                queued.add(call);
                call.getOutputStream().write(answer, 0, kind == Discovery.THERE ? answer.length : 1);
            } catch (IOException e) {
                // The listener was closed, or the router has gone.
            }
        }
    }

    private List<Start> startTogether(Path jar, int each) throws Exception {
        List<RouterProcess> routers = new ArrayList<>();
        List<Start> starts = new ArrayList<>();
        try {
            List<Discovery> kinds = new ArrayList<>();
            List<Long> begun = new ArrayList<>();
            for (Discovery kind : Discovery.values()) {
                int discovery = discovery(kind);
                for (int i = 0; i < each; i++) {
                    Path folder = Files.createDirectories(dir.resolve(kind + "-" + i));
                    kinds.add(kind);
                    begun.add(System.nanoTime());
                    routers.add(RouterProcess.start(
                            jar, folder, RouterProcess.config(NOBODY, NOBODY, discovery, 1_024), ""));
                }
            }
            for (int i = 0; i < routers.size(); i++) {
                RouterProcess router = routers.get(i).awaitServing();
                try (Socket socket = router.connect()) {
                    assertThat(RouterProcess.ask(socket, PING)).isEqualTo("+PONG");
                }
                starts.add(new Start(
                        kinds.get(i),
                        (System.nanoTime() - begun.get(i)) / 1_000_000,
                        router.processorMillis(),
                        router.mostResidentMib()));
            }
            return starts;
        } finally {
            routers.forEach(RouterProcess::close);
            for (ServerSocket listener : listeners) {
                listener.close();
            }
            for (Socket socket : queued) {
                socket.close();
            }
        }
    }

    @Test
    void routersThatStartTogetherAreReadyInTimeWhateverDiscoveryDoes() throws Exception {
        Path jar = RouterProcess.jar(dir.resolve("slateseam.jar"), null);
        RouterProcess.archive(jar);
        List<Start> starts = startTogether(jar, 1);
        assertThat(starts)
                .hasSize(Discovery.values().length)
                .allMatch(start -> start.millis < READY_MILLIS)
                .allMatch(start -> start.derivedMillis() < READY_MILLIS);
    }

    /** Starts so many routers for each kind of discovery, all together. */
    public static void main(String[] args) throws Exception {
        ReadinessTest trial = new ReadinessTest();
        trial.dir = Files.createTempDirectory("readiness");
        Path jar = RouterProcess.jar(trial.dir.resolve("slateseam.jar"), null);
        RouterProcess.archive(jar);
        List<Start> starts = trial.startTogether(jar, Integer.parseInt(args[0]));
        System.out.println(
                "discovery  routers  slowest ms  processor ms (median, most)  at a tenth of a core ms (most)  MiB");
        for (Discovery kind : Discovery.values()) {
            List<Start> own = starts.stream()
                    .filter(start -> start.discovery == kind)
                    .sorted(Comparator.comparingLong(Start::processorMillis))
                    .toList();
            Start last = own.get(own.size() - 1);
            System.out.printf(
                    Locale.ROOT,
                    "%-9s %8d %11d %12d %6d %20d %16d%n",
                    kind,
                    own.size(),
                    own.stream().mapToLong(Start::millis).max().orElseThrow(),
                    own.get(own.size() / 2).processorMillis,
                    last.processorMillis,
                    last.derivedMillis(),
                    own.stream().mapToLong(Start::mib).max().orElseThrow());
        }
        try (Stream<Path> all = Files.walk(trial.dir)) {
            for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
        System.exit(0);
    }
}
