package slateseam;

import static org.assertj.core.api.Assertions.assertThat;
import static slateseam.LoopbackServers.write;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Slow readers of the longest values, at a process with the deployed memory settings. */
@Timeout(120)
class SlowReadersProcessTest {
    /** Of resident memory, in MiB; deployments name 144 and more. */
    private static final long MOST_MIB = 128;

    private static final int LONG_BYTES = 4 * 1024 * 1024;
    private static final int CHUNK_BYTES = 16 * 1024;
    private static final int MOST_SHORT_BYTES = 64 * 1024;
    private static final int SLOW_BYTES_A_SECOND = 256 * 1024;
    private static final int VERY_SLOW_BYTES_A_SECOND = 16 * 1024;
    private static final int SLOW_SECONDS = 5;
    private static final int VERY_SLOW_SECONDS = 12;
    private static final String FACTS = "c=read,t=acme,d=1500";

    @TempDir
    Path dir;

    private final LoopbackServers peers = new LoopbackServers();
    private RouterProcess router;

    @BeforeEach
    void start() throws IOException {
        Path jar = RouterProcess.jar(dir.resolve("slateseam.jar"), null);
        String config =
                RouterProcess.config(peers.listen(this::cache), peers.listen(SlowReadersProcessTest::origin), 1, 1_024);
        router = RouterProcess.start(jar, dir, config, "").awaitServing();
    }

    @AfterEach
    void end() throws IOException {
        router.close();
        peers.close();
    }

    /** A cache that lacks some keys and has values of all lengths for others. */
    private void cache(Socket socket) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = new BufferedOutputStream(socket.getOutputStream());
        socket.setTcpNoDelay(true);
        for (List<String> command; !peers.isOver() && (command = LoopbackServers.command(in)) != null; ) {
            String key = command.size() > 1 ? command.get(1) : "";
            if (command.size() == 1) {
                write(out, "+PONG\r\n");
            } else if (key.startsWith("miss")) {
                write(out, "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n");
            } else {
                int length = key.startsWith("long") ? LONG_BYTES : key.startsWith("short") ? MOST_SHORT_BYTES : 1;
                write(out, "*3\r\n$" + length + "\r\n");
                out.write(value(key, length));
                write(out, "\r\n$3\r\nhit\r\n$-1\r\n");
            }
            out.flush();
        }
    }

    /** An origin that answers in chunks. */
    private static void origin(Socket socket) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = new BufferedOutputStream(socket.getOutputStream());
        for (String first; (first = RouterProcess.line(in)) != null; ) {
            while (!RouterProcess.line(in).isEmpty()) {
                // The headers matter to nobody here.
            }
            String key = first.split(" ")[1].substring(1);
            byte[] value = value(key, key.startsWith("miss") ? LONG_BYTES : CHUNK_BYTES);
            write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int at = 0; at < value.length; at += CHUNK_BYTES) {
                write(out, Integer.toHexString(CHUNK_BYTES) + "\r\n");
                out.write(value, at, CHUNK_BYTES);
                write(out, "\r\n");
            }
            write(out, "0\r\n\r\n");
            out.flush();
        }
    }

    private static byte[] value(String key, int length) {
        byte[] value = new byte[length];
        Arrays.fill(value, (byte) key.hashCode());
        return value;
    }

    /** Asks for keys on one connection at once, reads slowly for a while, then quickly; returns the heads of the answers. */
    private List<String> readSlowly(List<String> keys, int bytesASecond, int seconds) throws IOException {
        try (Socket socket = router.connect()) {
            socket.setSoTimeout(60_000);
            for (String key : keys) {
                socket.getOutputStream().write(RouterProcess.command("CACHE.GET", key, "id-" + key, FACTS));
            }
            InputStream in = new SlowStream(socket.getInputStream(), bytesASecond, seconds);
            List<String> answers = new ArrayList<>();
            for (String key : keys) {
                String head = RouterProcess.line(in);
                assertThat(head).as("an answer for %s, behind %s", key, answers).isNotNull();
                answers.add(head);
                if (head.startsWith("$")) {
                    byte[] value = in.readNBytes(Integer.parseInt(head.substring(1)));
                    assertThat(Arrays.equals(value, value(key, value.length)))
                            .as("value of " + key)
                            .isTrue();
                    assertThat(RouterProcess.line(in))
                            .as("end of the value of " + key)
                            .isEmpty();
                }
            }
            return answers;
        }
    }

    /** Reads at a low rate for a while. */
    private static final class SlowStream extends InputStream {
        private static final int PART_BYTES = 8 * 1024;

        private final InputStream in;
        private final int bytesASecond;
        private final long slowNanos;
        private final long begin = System.nanoTime();
        private final byte[] part = new byte[PART_BYTES];
        private long taken;
        private int at;
        private int end;

        SlowStream(InputStream in, int bytesASecond, int seconds) {
            this.in = in;
            this.bytesASecond = bytesASecond;
            this.slowNanos = TimeUnit.SECONDS.toNanos(seconds);
        }

        @Override
        public int read() throws IOException {
            if (at == end && !fill()) {
                return -1;
            }
            return part[at++] & 0xff;
        }

        @Override
        public int read(byte[] to, int offset, int length) throws IOException {
            if (at == end && !fill()) {
                return -1;
            }
            int given = Math.min(length, end - at);
            System.arraycopy(part, at, to, offset, given);
            at += given;
            return given;
        }

        private boolean fill() throws IOException {
            long due = begin + taken * TimeUnit.SECONDS.toNanos(1) / bytesASecond;
            long now = System.nanoTime();
            if (now < begin + slowNanos && due > now) {
                try {
                    TimeUnit.NANOSECONDS.sleep(due - now);
                } catch (InterruptedException e) {
                    throw new EOFException("interrupted");
                }
            }
            at = 0;
            end = Math.max(0, in.read(part));
            taken += end;
            return end > 0;
        }
    }

    /** Lets user agents read slowly, and checks that one beside them is served, and that memory is bounded. */
    private List<List<String>> readAll(List<List<String>> keys) throws Exception {
        List<Future<List<String>>> readers = new ArrayList<>();
        for (List<String> some : keys) {
            readers.add(peers.submit(() -> readSlowly(some, SLOW_BYTES_A_SECOND, SLOW_SECONDS)));
            TimeUnit.MILLISECONDS.sleep(50);
        }
        assertThat(askBeside()).as("from the cache, or the origin in its place").isIn("$1", "$" + CHUNK_BYTES);
        List<List<String>> answers = new ArrayList<>();
        for (Future<List<String>> reader : readers) {
            answers.add(reader.get());
        }
        assertThat(router.isAlive()).isTrue();
        assertThat(router.mostResidentMib()).as("MiB resident at most").isLessThan(MOST_MIB);
        return answers;
    }

    /** Asks for a short value, again while it is not served: the one cache has a thousand requests at once to do. */
    private String askBeside() throws Exception {
        String answer = "-";
        for (int i = 0; i < 50 && answer.startsWith("-"); i++) {
            TimeUnit.MILLISECONDS.sleep(100);
            try (Socket beside = router.connect()) {
                answer = RouterProcess.ask(beside, RouterProcess.command("CACHE.GET", "v", "beside" + i, FACTS));
            }
        }
        return answer;
    }

    private static List<String> keys(String prefix, int count) {
        List<String> keys = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            keys.add(prefix + "-" + i);
        }
        return keys;
    }

    /** Failure: a user agent that read two long values without a pause was cut off after 8 s, as the system had taken most. */
    @Test
    void aReaderThatIsSlowAndNeverStopsIsNotCutOff() throws Exception {
        assertThat(readSlowly(keys("long", 2), VERY_SLOW_BYTES_A_SECOND, VERY_SLOW_SECONDS))
                .containsExactly("$" + LONG_BYTES, "$" + LONG_BYTES);
    }

    /** Failure: 14 slow readers of values in chunks ended the process, as it ran out of heap. */
    @Test
    void slowReadersOfValuesInChunksLeaveTheProcessItsHeap() throws Exception {
        List<List<String>> keys = keys("miss", 30).stream().map(List::of).toList();
        List<List<String>> answers = readAll(keys);
        assertThat(answers).allMatch(one -> one.get(0).matches("\\$" + LONG_BYTES + "|-(BUSY|ERR).*"));
        assertThat(answers).contains(List.of("$" + LONG_BYTES));
    }

    /** Failure: answers behind long ones that are read slowly ended the process, as they were counted nowhere. */
    @Test
    void answersBehindLongOnesThatAreReadSlowlyLeaveTheProcessItsHeap() throws Exception {
        List<List<String>> keys = new ArrayList<>();
        for (int i = 0; i < 62; i++) {
            List<String> some = keys("long-" + i, 2);
            some.addAll(keys("short-" + i, 14));
            keys.add(some);
        }
        assertThat(readAll(keys)).allMatch(one -> one.size() == 16);
    }
}
