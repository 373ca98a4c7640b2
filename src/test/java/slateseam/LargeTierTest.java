package slateseam;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.json.JSONArray;
import org.json.JSONObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * The deployed line in a tier of 1,024 routers before 1,024 application servers with long names, for 1,024 tenants: it starts, serves,
 * takes new settings and ends in order within the memory and the descriptors of its settings.
 */
@Timeout(180)
class LargeTierTest {
    private static final int ROUTERS = 1_024;
    private static final int SERVERS = 1_024;
    private static final int TENANTS = 1_024;
    private static final int DESCRIPTORS = 512;
    /** The least that the deployments name, in KiB. */
    private static final long MEMORY_KIB = 144 * 1_024;

    private static final int COMMANDS_AT_ONCE = 8;

    @TempDir
    Path dir;

    private final List<AutoCloseable> open = new ArrayList<>();
    private final Set<String> tenantsSeen = new HashSet<>();
    private final BlockingQueue<JSONObject> changes = new LinkedBlockingQueue<>();
    private Process process;
    private BufferedReader err;

    @AfterEach
    void end() throws Exception {
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
        for (AutoCloseable each : open) {
            each.close();
        }
    }

    private static String serverName(int number) {
        return String.format(
                Locale.ROOT,
                "cache-server-%04d.rack-%02d.row-%d.hall-west.building-7.campus-north.region-south"
                        + ".application-servers.customers.example.internal",
                number,
                number / 32,
                number / 256);
    }

    private static String tenantName(int number) {
        return String.format(Locale.ROOT, "tenant-%04d-of-the-department-of-long-names", number);
    }

    /** One socket stands for all application servers, as they are told apart by their names. */
    private static JSONObject list(int port, int originPort) {
        JSONArray hosts = new JSONArray();
        for (int i = 0; i < SERVERS; i++) {
            hosts.put(host(serverName(i), "application-server", port, "ready"));
        }
        hosts.put(host("origin.region-south.customers.example.internal", "origin", originPort, "ready"));
        return new JSONObject().put("seq", 1).put("whole", true).put("hosts", hosts);
    }

    private static JSONObject host(String name, String kind, int port, String health) {
        return new JSONObject()
                .put("host", name)
                .put("dial", "127.0.0.1:" + port)
                .put("site", "campus-north")
                .put("class", kind)
                .put("block", 17)
                .put("health", health)
                .put("share", 1.25)
                .put("born_ms", 0);
    }

    private JSONObject config(
            int discovery, JSONObject known, DatagramSocket next, DatagramSocket previous, String... moreClasses)
            throws Exception {
        JSONObject config = new JSONObject(Files.readString(Path.of("examples/config.json")));
        JSONArray peers = new JSONArray();
        for (int i = 0; i < ROUTERS; i++) {
            peers.put("127." + (100 + i / 250) + ".1." + (1 + i % 250) + ":7946");
        }
        peers.put(1, "127.0.0.1:" + next.getLocalPort()).put(ROUTERS - 1, "127.0.0.1:" + previous.getLocalPort());
        config.put("listen", "127.0.0.1:0")
                .put("peer_listen", "127.0.0.1:0")
                .put("discovery", "127.0.0.1:" + discovery)
                .put("peers", peers)
                .put("known", known);
        config.getJSONObject("limits").put("sockets", DESCRIPTORS);
        JSONObject settings = config.getJSONObject("settings")
                .put("replicas_of_me", ROUTERS)
                .put("zones", new JSONArray().put("campus-north"))
                .put("kinds", new JSONArray().put("application-server").put("origin"));
        JSONArray tenants = new JSONArray();
        for (int i = 0; i < TENANTS; i++) {
            tenants.put(new JSONObject()
                    .put("name", tenantName(i))
                    .put("quota_per_s", 1000)
                    .put("fraction", 1.0 / TENANTS));
        }
        settings.put("accounts", tenants);
        for (String name : moreClasses) {
            settings.getJSONArray("profiles")
                    .put(new JSONObject(settings.getJSONArray("profiles")
                                    .getJSONObject(0)
                                    .toString())
                            .put("name", name));
        }
        return config;
    }

    private DatagramSocket neighbour() throws IOException {
        DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        socket.setSoTimeout(10_000);
        open.add(socket);
        return socket;
    }

    /** What a stand-in does with a connection; its end is the connection's. */
    private interface Service {
        void serve(InputStream in, OutputStream out) throws IOException, InterruptedException;
    }

    private int listen(Service service) throws IOException {
        ServerSocket listener = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
        open.add(listener);
        thread(() -> {
            while (true) {
                Socket socket = listener.accept();
                thread(() -> {
                    try (socket) {
                        service.serve(new BufferedInputStream(socket.getInputStream()), socket.getOutputStream());
                    }
                });
            }
        });
        return listener.getLocalPort();
    }

    private interface Task {
        void run() throws IOException, InterruptedException;
    }

    private static void thread(Task task) {
        Thread thread = new Thread(
                null,
                () -> {
                    try {
                        task.run();
                    } catch (IOException | InterruptedException e) {
                        // the other side, or the test, has ended
                    }
                },
                "stand-in",
                256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b; (b = in.read()) != '\n'; ) {
            if (b < 0) {
                throw new IOException("the end");
            }
            line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1).strip();
    }

    /** Has every value, and answers whatever is asked beside. */
    private void serveValues(InputStream in, OutputStream out) throws IOException {
        while (true) {
            List<String> command = new ArrayList<>();
            for (int left = Integer.parseInt(readLine(in).substring(1)); left > 0; left--) {
                int length = Integer.parseInt(readLine(in).substring(1));
                command.add(new String(in.readNBytes(length + 2), 0, length, StandardCharsets.ISO_8859_1));
            }
            boolean read = command.get(0).equals("CACHE.GET");
            if (read) {
                synchronized (tenantsSeen) {
                    tenantsSeen.add(command.get(3).replaceAll(".*t=([^,]*).*", "$1"));
                }
            }
            out.write((read ? "*1\r\n$5\r\nvalue\r\n" : "+OK\r\n").getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    /** Has every value too, for reads that no application server could take at once. */
    private static void serveOrigin(InputStream in, OutputStream out) throws IOException {
        while (true) {
            readHead(in);
            out.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalue".getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    /** The first line of a head, all of which is read. */
    private static String readHead(InputStream in) throws IOException {
        String first = readLine(in);
        for (String line = first; !line.isEmpty(); ) {
            line = readLine(in);
        }
        return first;
    }

    /** Tells the whole list to a call without an index, and to others what changes. */
    private void tellFarm(InputStream in, OutputStream out, JSONObject whole) throws IOException, InterruptedException {
        while (true) {
            String call = readHead(in);
            JSONObject told = whole;
            if (call.contains("index=")) {
                told = call.contains("wait=1 ") ? null : changes.poll(2, TimeUnit.SECONDS);
                told = told != null
                        ? told
                        : new JSONObject()
                                .put("seq", whole.getLong("seq"))
                                .put("whole", false)
                                .put("hosts", new JSONArray());
            }
            byte[] body = told.toString().getBytes(StandardCharsets.UTF_8);
            out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
        }
    }

    private void launch(JSONObject config) throws IOException {
        String line = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(l -> l.startsWith("run = "))
                .findFirst()
                .orElseThrow()
                .replaceFirst("run = \"(.*)\"", "$1")
                .replace(
                        "-jar target/slateseam.jar",
                        "-cp '" + System.getProperty("java.class.path") + "' slateseam.Main");
        ProcessBuilder builder = new ProcessBuilder("sh", "-c", "ulimit -n " + DESCRIPTORS + "; " + line);
        builder.environment()
                .put(
                        "NODE_CONFIG",
                        Files.writeString(dir.resolve("config.json"), config.toString())
                                .toString());
        builder.environment()
                .merge(
                        "PATH",
                        Path.of(System.getProperty("java.home"), "bin").toString(),
                        (old, java) -> java + ":" + old);
        process = builder.start();
        err = new BufferedReader(new InputStreamReader(process.getErrorStream(), StandardCharsets.UTF_8));
    }

    private String line(String begin) throws IOException {
        String line = err.readLine();
        while (line != null && !line.startsWith(begin)) {
            line = err.readLine();
        }
        assertThat(line).as(begin).isNotNull();
        return line;
    }

    private void signal(String name) throws Exception {
        assertThat(new ProcessBuilder("sh", "-c", "kill -" + name + " " + process.pid())
                        .start()
                        .waitFor())
                .isZero();
    }

    private long memoryKib() throws IOException {
        return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
                .filter(l -> l.startsWith("VmHWM:"))
                .mapToLong(l -> Long.parseLong(l.replaceAll("\\D", "")))
                .findFirst()
                .orElseThrow();
    }

    private long descriptors() throws IOException {
        try (Stream<Path> held = Files.list(Path.of("/proc", Long.toString(process.pid()), "fd"))) {
            return held.count();
        }
    }

    /** Reads of so many keys of each tenant's in turn, several at once; how many got their value. */
    private static int served(Socket socket, int from, int number, String type) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        int served = 0;
        for (int asked = 0; asked < number; ) {
            int together = Math.min(COMMANDS_AT_ONCE, number - asked);
            StringBuilder commands = new StringBuilder();
            for (int i = 0; i < together; i++, asked++) {
                commands.append("*4\r\n");
                for (String word : List.of(
                        "CACHE.GET",
                        "key-" + (from + asked),
                        "id-" + (from + asked),
                        "c=" + type + ",t=" + tenantName((from + asked) % TENANTS) + ",d=1400")) {
                    commands.append('$')
                            .append(word.length())
                            .append("\r\n")
                            .append(word)
                            .append("\r\n");
                }
            }
            socket.getOutputStream().write(commands.toString().getBytes(StandardCharsets.ISO_8859_1));
            for (int i = 0; i < together; i++) {
                if (readLine(in).equals("$5")) {
                    assertThat(readLine(in)).isEqualTo("value");
                    served++;
                }
            }
        }
        return served;
    }

    @Test
    void theDeployedLineServesInALargeTier() throws Exception {
        int servers = listen(this::serveValues);
        JSONObject whole = list(servers, listen(LargeTierTest::serveOrigin));
        CountDownLatch asked = new CountDownLatch(1);
        int discovery = listen((in, out) -> {
            asked.countDown();
            tellFarm(in, out, whole);
        });
        DatagramSocket next = neighbour();
        DatagramSocket previous = neighbour();
        launch(config(discovery, whole, next, previous));
        String serving = line("example: serving: at ");
        assertThat(asked.getCount()).as("discovery was asked").isZero();
        try (Socket socket =
                new Socket("127.0.0.1", Integer.parseInt(serving.substring(serving.lastIndexOf(':') + 1)))) {
            socket.setSoTimeout(20_000);
            assertThat(served(socket, 0, 3 * TENANTS, "read"))
                    .as("served of " + 3 * TENANTS)
                    .isGreaterThanOrEqualTo(3 * TENANTS * 99 / 100);
            assertThat(tenantsSeen).hasSize(TENANTS);
            for (DatagramSocket neighbour : List.of(next, previous)) {
                DatagramPacket packet = new DatagramPacket(new byte[512], 512);
                neighbour.receive(packet);
                assertThat(packet.getLength()).isBetween(22, 256);
            }

            JSONArray drained = new JSONArray();
            for (int i = 0; i < SERVERS / 2; i++) {
                drained.put(host(serverName(i), "application-server", servers, "draining"));
            }
            changes.add(new JSONObject().put("seq", 2).put("whole", false).put("hosts", drained));
            Files.writeString(
                    dir.resolve("config.json"),
                    config(discovery, whole, next, previous, "feed").toString());
            signal("HUP");
            assertThat(line("example: reloaded: ")).contains("feed");
            assertThat(served(socket, 10_000, TENANTS, "feed"))
                    .as("served of the new class")
                    .isGreaterThanOrEqualTo(TENANTS * 99 / 100);
            assertThat(descriptors()).isLessThanOrEqualTo(DESCRIPTORS);
            assertThat(memoryKib()).as("KiB held at the most").isLessThan(MEMORY_KIB);
            signal("TERM");
            assertThat(served(socket, 20_000, 1, "read"))
                    .as("asked as the end is planned")
                    .isEqualTo(1);
        }
        assertThat(process.waitFor(15, TimeUnit.SECONDS)).as("it ends").isTrue();
        assertThat(process.exitValue()).isIn(0, 143);
    }
}
