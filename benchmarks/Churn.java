import java.io.IOException;
import java.io.InputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

/**
 * User agents that come and go at a running router, for good: each connection is new, and so are keys, ids and most tenants'
 * names; some break the protocol, some stop within a command, strangers send datagrams. Meanwhile the router's process is
 * looked at from outside, after a collection each time. Fails where memory, descriptors or threads keep rising.
 *
 * <p>{@code java benchmarks/Churn.java 127.0.0.1:6379 PID SECONDS [FOLDER]}; loopback only, at most 300 s.
 */
public final class Churn {
    private static final int AGENTS = 12;
    private static final int SAMPLES = 8;
    private static final int MOST_SECONDS = 300;
    private static final int ASKS = 4;
    private static final String[] ENDS = {
        "*4\r\n$9\r\nCACHE",
        "*1\r\n$-7\r\n",
        "GET / HTTP/1.1\r\n\r\n",
        "*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$1\r\ni\r\n$4\r\nc=no\r\n",
        "*999999999\r\n",
        "\0\0\0\0"
    };

    private final InetSocketAddress router;
    private final long end;
    private final AtomicLong served = new AtomicLong();
    private final AtomicLong unavailable = new AtomicLong();
    private final AtomicLong other = new AtomicLong();

    private Churn(InetSocketAddress router, long end) {
        this.router = router;
        this.end = end;
    }

    private boolean isOver() {
        return System.nanoTime() >= end;
    }

    /** One user agent after the other, under one number. */
    private void agents(int number) {
        Random random = new Random(number);
        for (int i = 0; !isOver(); i++) {
            try (Socket socket = new Socket(router.getAddress(), router.getPort())) {
                socket.setSoTimeout(3_000);
                for (int k = 0; k < ASKS; k++) {
                    String id = number + "-" + i + "-" + k;
                    String tenant = random.nextInt(3) > 0 ? "acme" : "new-" + id;
                    socket.getOutputStream()
                            .write(command(
                                    "CACHE.GET",
                                    "key-" + id,
                                    "id-" + id,
                                    "c=read,t=" + tenant + ",d=" + (50 + random.nextInt(1_000))));
                    byte[] got = new byte[256];
                    int length = socket.getInputStream().read(got);
                    String answer = length < 0 ? "" : new String(got, 0, length, StandardCharsets.ISO_8859_1);
                    (answer.startsWith("$") ? served : answer.startsWith("-BUSY") ? unavailable : other)
                            .incrementAndGet();
                }
                if (random.nextInt(5) == 0) {
                    socket.getOutputStream()
                            .write(ENDS[random.nextInt(ENDS.length)].getBytes(StandardCharsets.ISO_8859_1));
                }
            } catch (IOException e) {
                other.incrementAndGet();
            }
        }
    }

    private void strangers(int port) {
        Random random = new Random(port);
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            while (!isOver()) {
                byte[] bytes = new byte[random.nextInt(300)];
                random.nextBytes(bytes);
                socket.send(new DatagramPacket(bytes, bytes.length, InetAddress.getLoopbackAddress(), port));
                TimeUnit.MILLISECONDS.sleep(2);
            }
        } catch (IOException | InterruptedException e) {
            other.incrementAndGet();
        }
    }

    private static byte[] command(String... words) {
        StringBuilder text = new StringBuilder("*" + words.length + "\r\n");
        for (String word : words) {
            text.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
        }
        return text.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String asked(String... command) throws IOException {
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        try (InputStream in = process.getInputStream()) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static long number(String text, String before) {
        int at = text.indexOf(before) + before.length();
        return Long.parseLong(text.substring(at).replaceFirst("(?s)^\\D*(\\d+).*", "$1"));
    }

    /** Heap used after a collection in KiB, resident memory in KiB, descriptors, threads, bytes of files. */
    private static long[] look(String pid, Path folder) throws IOException {
        String jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
        asked(jcmd, pid, "GC.run");
        String heap = asked(jcmd, pid, "GC.heap_info");
        long used = 0;
        for (String part : heap.split("\n")) {
            used += part.contains("generation") ? number(part, "used ") : 0;
        }
        String status = Files.readString(Path.of("/proc", pid, "status"));
        long descriptors;
        try (Stream<Path> all = Files.list(Path.of("/proc", pid, "fd"))) {
            descriptors = all.count();
        }
        long files = 0;
        if (folder != null) {
            try (Stream<Path> all = Files.walk(folder)) {
                for (Path file : all.filter(Files::isRegularFile).toList()) {
                    files += Files.size(file);
                }
            }
        }
        return new long[] {used, number(status, "VmRSS:"), descriptors, number(status, "Threads:"), files};
    }

    public static void main(String[] args) throws Exception {
        String[] address = args[0].split(":");
        int seconds = Math.min(MOST_SECONDS, Integer.parseInt(args[2]));
        Path folder = args.length > 3 ? Path.of(args[3]) : null;
        InetAddress host = InetAddress.getByName(address[0]);
        if (!host.isLoopbackAddress()) {
            throw new IllegalArgumentException("loopback addresses only");
        }
        Churn churn = new Churn(
                new InetSocketAddress(host, Integer.parseInt(address[1])),
                System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds));
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < AGENTS; i++) {
            int number = i;
            threads.add(new Thread(() -> churn.agents(number)));
        }
        threads.add(new Thread(() -> churn.strangers(7946)));
        threads.forEach(Thread::start);
        List<long[]> looks = new ArrayList<>();
        System.out.println("| s | heap KiB | resident KiB | descriptors | threads | files B | requests |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- |");
        for (int i = 1; i <= SAMPLES; i++) {
            TimeUnit.MILLISECONDS.sleep(1_000L * seconds / SAMPLES);
            long[] look = look(args[1], folder);
            looks.add(look);
            System.out.printf(
                    Locale.ROOT,
                    "| %d | %d | %d | %d | %d | %d | %d |%n",
                    seconds * i / SAMPLES,
                    look[0],
                    look[1],
                    look[2],
                    look[3],
                    look[4],
                    churn.served.get() + churn.unavailable.get());
        }
        for (Thread thread : threads) {
            thread.join();
        }
        System.out.printf(
                Locale.ROOT,
                "served %d, unavailable %d, else %d%n",
                churn.served.get(),
                churn.unavailable.get(),
                churn.other.get());
        boolean rises = false;
        for (int what = 0; what < 4; what++) {
            boolean each = true;
            for (int i = SAMPLES / 2; i < SAMPLES; i++) {
                each &= looks.get(i)[what] > 1.02 * looks.get(i - 1)[what];
            }
            rises |= each;
        }
        System.out.println(rises ? "something rises throughout" : "nothing rises throughout");
        System.exit(rises ? 1 : 0);
    }
}
