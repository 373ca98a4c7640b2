package slateseam.router.kubernetes;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import slateseam.standin.kubernetes.Served;
import slateseam.standin.sockets.Certificates;

/**
 * What following EndpointSlices gives, outside the tests, with the packaged router as a process of its own, the
 * stand-in API server, and cache servers on loopback. The first argument chooses: {@code drains RUNS plain|tls|trouble
 * [SEED]}, {@code starts RUNS}, {@code sizes SECONDS plain|tls}.
 */
final class KubernetesMeasured implements AutoCloseable {
    private static final int SERVERS = 40;
    private static final int AGENTS = 16;
    private static final long WATCHED_NANOS = 1_000_000_000L;
    private static final List<String> FLAGS = List.of(
            "-Xms24m",
            "-Xmx64m",
            "-XX:MaxDirectMemorySize=16m",
            "-XX:MaxMetaspaceSize=40m",
            "-XX:ReservedCodeCacheSize=24m",
            "-Xss512k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:-UsePerfData");

    private final Path dir = Files.createTempDirectory("slateseam");
    private final Certificates authority = new Certificates("measured");
    private final boolean tls;
    final Served served;
    private final List<String> log = new ArrayList<>();
    private Process process;
    private InetSocketAddress address;
    private volatile boolean ends;
    private final AtomicLong answers = new AtomicLong();
    private final AtomicLong unavailable = new AtomicLong();

    KubernetesMeasured(boolean tls) throws Exception {
        this.tls = tls;
        served = new Served(tls ? authority.server("127.0.0.1") : null);
        Files.writeString(dir.resolve("ca.pem"), authority.pem());
        Files.writeString(dir.resolve("token"), "measured");
    }

    /** Starts a router and waits until it serves. */
    private void start(String... more) throws Exception {
        Path config = Files.writeString(
                dir.resolve("config.json"),
                Files.readString(Path.of("examples/config.json"))
                        .replaceAll("127.0.0.1:(6379|7946)", "127.0.0.1:0")
                        .replaceFirst("(?s)\"hosts\": \\[.*?\\]", "\"hosts\": []"));
        List<String> settings = new ArrayList<>(List.of(
                "kubernetes_api " + served.url(),
                "kubernetes_namespace shop",
                "kubernetes_service caches",
                "kubernetes_port resp",
                "kubernetes_origin 127.0.0.1:1"));
        if (tls) {
            settings.add("kubernetes_ca " + dir.resolve("ca.pem"));
            settings.add("kubernetes_token " + dir.resolve("token"));
        }
        settings.addAll(List.of(more));
        Path features = Files.write(dir.resolve("s.conf"), settings);
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(FLAGS);
        command.addAll(List.of(
                "-jar",
                "target/slateseam.jar",
                "serve",
                "--config",
                config.toString(),
                "--features",
                features.toString()));
        process = new ProcessBuilder(command).start();
        BufferedReader err = new BufferedReader(new InputStreamReader(process.getErrorStream()));
        String line;
        while (!(line = err.readLine()).contains(": serving: at ")) {
            log.add(line);
        }
        address = new InetSocketAddress("127.0.0.1", Integer.parseInt(line.substring(line.lastIndexOf(':') + 1)));
        Thread reader = new Thread(() -> err.lines().forEach(text -> {
            synchronized (log) {
                log.add(text);
            }
        }));
        reader.setDaemon(true);
        reader.start();
    }

    private void stop() throws Exception {
        process.destroy();
        process.waitFor();
    }

    /** A user agent that asks for its next key when it has its answer. */
    private void agent(int number) {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setTcpNoDelay(true);
            BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream()));
            Random keys = new Random(number);
            for (long i = 0; !ends; i++) {
                ask(socket, "k" + keys.nextInt(10_000), number + "-" + i);
                String first = in.readLine();
                if (first == null) {
                    return;
                }
                if (first.startsWith("$")) {
                    in.readLine();
                    answers.incrementAndGet();
                } else {
                    unavailable.incrementAndGet();
                }
                Thread.sleep(1); // some hundred requests a second, as in service
            }
        } catch (IOException | InterruptedException e) {
            // The router has gone.
        }
    }

    private static void ask(Socket socket, String key, String id) throws IOException {
        StringBuilder text = new StringBuilder("*4\r\n");
        for (String word : new String[] {"CACHE.GET", key, id, "c=read,t=acme,d=1500"}) {
            text.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
        }
        socket.getOutputStream().write(text.toString().getBytes(StandardCharsets.US_ASCII));
    }

    private void load() {
        for (int i = 0; i < AGENTS; i++) {
            int number = i;
            Thread thread = new Thread(() -> agent(number));
            thread.setDaemon(true);
            thread.start();
        }
    }

    private void fleet(CacheFleet caches, int servers) {
        List<String> commands = new ArrayList<>(List.of("service caches port=resp:" + caches.port + " per-slice=10"));
        for (int i = 0; i < servers; i++) {
            commands.add("pod c-" + i + " add service=caches ipv4=" + CacheFleet.address(i));
        }
        served.command(commands.toArray(String[]::new));
    }

    private static void tell(String what, List<Long> nanos) {
        long[] sorted = nanos.stream().mapToLong(Long::longValue).sorted().toArray();
        System.out.printf(
                "%s: %d, median %.2f ms, p99 %.2f ms, longest %.2f ms, over 500 ms: %d%n",
                what,
                sorted.length,
                sorted[sorted.length / 2] / 1e6,
                sorted[(int) (sorted.length * 0.99)] / 1e6,
                sorted[sorted.length - 1] / 1e6,
                Arrays.stream(sorted).filter(n -> n > 500_000_000L).count());
    }

    /** From the moment a change is written until the last request that reaches the server. */
    private static void drains(int runs, String way, long seed) throws Exception {
        try (CacheFleet caches = new CacheFleet(SERVERS);
                KubernetesMeasured measured = new KubernetesMeasured(way.equals("tls"))) {
            measured.fleet(caches, SERVERS);
            measured.start();
            measured.load();
            Thread.sleep(3_000);
            Random random = new Random(seed);
            long[] begun = new long[SERVERS];
            String[] how = new String[SERVERS];
            List<Long> took = new ArrayList<>();
            List<Long> vanished = new ArrayList<>();
            long idle = 0;
            // Pods that end drain before they leave; a tenth of the changes are pods that just vanish.
            String[] changes = {
                "terminating",
                "terminating",
                "terminating",
                "unready",
                "unready",
                "unready",
                "set ready=yes serving=no",
                "set ready=no",
                "set terminating=yes",
                "gone"
            };
            String[] troubles = {
                "cut watch at=object",
                "cut watch at=letter by=reset",
                "cut watch at=head",
                "expire",
                "end-watches",
                "swap 1",
                "duplicate 1",
                "cut all by=reset",
                "repack caches per-slice=7",
                "repack caches per-slice=10"
            };
            int started = 0;
            int dead = 0;
            while (took.size() + vanished.size() < runs) {
                int server = random.nextInt(SERVERS);
                if (begun[server] == 0 && dead < SERVERS / 4 && started < runs) {
                    if (way.equals("trouble") && random.nextInt(3) == 0) {
                        measured.served.command(troubles[random.nextInt(troubles.length)]);
                    }
                    how[server] = changes[random.nextInt(changes.length)];
                    String change = "pod c-" + server + " " + how[server];
                    begun[server] = System.nanoTime();
                    measured.served.command(change);
                    if (change.endsWith(" terminating") && random.nextBoolean()) {
                        measured.served.command("pod c-" + server + " gone");
                    }
                    idle += caches.last(server) < begun[server] - 200_000_000L ? 1 : 0;
                    started++;
                    dead++;
                }
                Thread.sleep(20);
                for (int i = 0; i < SERVERS; i++) {
                    if (begun[i] != 0 && System.nanoTime() - begun[i] > WATCHED_NANOS) {
                        (how[i].equals("gone") ? vanished : took).add(Math.max(0, caches.last(i) - begun[i]));
                        begun[i] = 0;
                        dead--;
                        measured.back(i);
                    }
                }
            }
            tell("drained (" + way + "), from the change to the last request", took);
            tell("vanished (" + way + ")", vanished);
            System.out.printf(
                    "  %d answers, %d unavailable; %d servers had no request 200 ms before the change%n",
                    measured.answers.get(), measured.unavailable.get(), idle);
            measured.troubles();
        }
    }

    private void back(int server) {
        served.net.run(() -> {
            if (served.server.cluster().pods().stream()
                    .noneMatch(pod -> pod.name().equals("c-" + server))) {
                served.command("pod c-" + server + " add service=caches ipv4=" + CacheFleet.address(server));
            } else {
                served.command("pod c-" + server + " ready");
            }
        });
    }

    private void troubles() {
        synchronized (log) {
            log.stream()
                    .filter(line -> line.contains("farm-"))
                    .limit(5)
                    .forEach(line -> System.out.println("  " + line));
            log.stream()
                    .map(line -> line.replaceFirst("^\\w+: ([-a-z]+): .*", "$1"))
                    .distinct()
                    .forEach(kind -> System.out.println("  log: " + kind + " "
                            + log.stream()
                                    .filter(line -> line.contains(": " + kind + ": "))
                                    .count()));
        }
    }

    /** From the start of the process to the first read that was served. */
    private static void starts(int runs) throws Exception {
        for (boolean tls : new boolean[] {false, true}) {
            for (boolean snapshot : new boolean[] {false, true}) {
                for (boolean up : new boolean[] {true, false}) {
                    try (CacheFleet caches = new CacheFleet(10);
                            KubernetesMeasured measured = new KubernetesMeasured(tls)) {
                        measured.fleet(caches, 10);
                        String[] more = snapshot ? new String[] {"snapshot_folder " + measured.dir} : new String[0];
                        if (snapshot) {
                            measured.start(more);
                            measured.first(5_000);
                            Thread.sleep(2_000);
                            measured.stop();
                        }
                        if (!up) {
                            measured.served.command("down");
                        }
                        long[] took = new long[runs];
                        for (int i = 0; i < runs; i++) {
                            long begun = System.nanoTime();
                            measured.start(more);
                            took[i] = measured.first(2_000) ? System.nanoTime() - begun : Long.MAX_VALUE;
                            measured.stop();
                        }
                        System.out.printf(
                                "start with %s, %s snapshot, API %s: %s%n",
                                tls ? "TLS" : "no TLS",
                                snapshot ? "a" : "no",
                                up ? "up" : "down",
                                Arrays.stream(took)
                                        .sorted()
                                        .mapToObj(n -> n == Long.MAX_VALUE ? "never" : n / 1_000_000 + " ms")
                                        .toList());
                    }
                }
            }
        }
    }

    /** Asks until something is served. */
    private boolean first(long mostMillis) throws Exception {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream()));
            long until = System.nanoTime() + mostMillis * 1_000_000;
            for (int i = 0; System.nanoTime() < until; i++) {
                ask(socket, "k" + i, "i" + i);
                String line = in.readLine();
                if (line.startsWith("$")) {
                    return true;
                }
                Thread.sleep(1);
            }
            return false;
        }
    }

    /** Processor time and memory by the size of the farm, at rest and under 200 changes a second. */
    private static void sizes(int seconds, boolean tls) throws Exception {
        for (int size : new int[] {100, 500, 1_000, 2_000, 5_000}) {
            try (KubernetesMeasured measured = new KubernetesMeasured(tls)) {
                measured.served.command(
                        "service caches port=resp:6379 per-slice=100", "pods c " + size + " service=caches");
                measured.start();
                Thread.sleep(3_000);
                long[] pings = new long[60 * seconds * 1_000];
                long ticks = measured.ticks();
                int count = measured.ping(pings, 0, seconds);
                long rest = measured.ticks() - ticks;
                long longestAtRest = Arrays.stream(pings, 0, count).max().orElse(0);
                measured.served.command("churn rate=200 for=" + seconds + "s");
                ticks = measured.ticks();
                count = measured.ping(pings, 0, seconds);
                long busy = measured.ticks() - ticks;
                long[] times = Arrays.copyOf(pings, count);
                Arrays.sort(times);
                System.out.printf(
                        "%5d servers: %.2f%% of a core at rest, %.2f%% under 200 changes a second (%.0f us a "
                                + "change); PING at rest at most %.1f ms, under changes p99 %.2f, p99.9 %.2f, at most %.1f ms; "
                                + "resident %d MB%n",
                        size,
                        (double) rest / seconds,
                        (double) busy / seconds,
                        (busy - rest) * 10_000.0 / (200.0 * seconds),
                        longestAtRest / 1e6,
                        times[(int) (count * 0.99)] / 1e6,
                        times[(int) (count * 0.999)] / 1e6,
                        times[count - 1] / 1e6,
                        measured.residentMegabytes());
                measured.troubles();
            }
        }
    }

    private int ping(long[] times, int from, int seconds) throws Exception {
        int count = from;
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setTcpNoDelay(true);
            long until = System.nanoTime() + seconds * 1_000_000_000L;
            while (System.nanoTime() < until && count < times.length) {
                long begun = System.nanoTime();
                socket.getOutputStream().write("*1\r\n$4\r\nPING\r\n".getBytes(StandardCharsets.US_ASCII));
                socket.getInputStream().readNBytes(7);
                times[count++] = System.nanoTime() - begun;
                Thread.sleep(1);
            }
        }
        return count;
    }

    /** User and system time of the router, in hundredths of a second. */
    private long ticks() throws IOException {
        String[] words = Files.readString(Path.of("/proc/" + process.pid() + "/stat"))
                .replaceFirst(".*\\) ", "")
                .split(" ");
        return Long.parseLong(words[11]) + Long.parseLong(words[12]);
    }

    private long residentMegabytes() throws IOException {
        return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                        .filter(line -> line.startsWith("VmRSS"))
                        .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                        .sum()
                / 1024;
    }

    @Override
    public void close() throws Exception {
        ends = true;
        process.destroyForcibly().waitFor();
        served.close();
        try (java.util.stream.Stream<Path> files = Files.list(dir)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(dir);
    }

    public static void main(String[] args) throws Exception {
        int number = Integer.parseInt(args[1]);
        switch (args[0]) {
            case "drains" -> drains(number, args[2], args.length > 3 ? Long.parseLong(args[3]) : 1);
            case "starts" -> starts(number);
            default -> sizes(number, args[2].equals("tls"));
        }
    }
}
