import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * What the cases share: small stand-ins of discovery, cache servers, the origin and clients, and one router started by
 * the deploy file's command. All addresses are loopback addresses, all ports are free ones.
 */
public class Rig implements AutoCloseable {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    static final String HOME = new File("").getAbsolutePath();

    /** Whether the disruption of the case is played. */
    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    // ---- the record ----

    final long zero = System.nanoTime();
    private final OutputStream record;

    double now() {
        return (System.nanoTime() - zero) / 1e9;
    }

    synchronized void say(String format, Object... values) {
        String line = String.format(Locale.ROOT, "%8.3f  ", now()) + String.format(Locale.ROOT, format, values) + "\n";
        try {
            record.write(line.getBytes(StandardCharsets.UTF_8));
            record.flush();
        } catch (IOException e) {
            System.err.println(e);
        }
    }

    final Path temporary;
    private final List<Closeable> open = new ArrayList<>();

    Rig(String recordFile) throws IOException {
        record = Files.newOutputStream(Path.of(recordFile));
        temporary = Files.createTempDirectory("slateseam-review");
        say("trouble is %s", trouble() ? "on" : "off");
        // A case may take 120 s; this ends one that hangs.
        Thread limit = new Thread(() -> {
            pause(115);
            say("could not run: over 115 s");
            end(2);
        });
        limit.setDaemon(true);
        limit.start();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> routers.forEach(Process::destroyForcibly)));
    }

    static void pause(double seconds) {
        try {
            Thread.sleep((long) (seconds * 1000));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    // ---- cache servers, origin, discovery ----

    /** What a server makes of one connection. */
    interface Speaker {
        void speak(Socket socket, InputStream in, OutputStream out) throws IOException;
    }

    ServerSocket listen(Speaker speaker) throws IOException {
        ServerSocket server = new ServerSocket();
        server.bind(new InetSocketAddress(LOOPBACK, 0), 512);
        open.add(server);
        daemon(() -> {
            while (true) {
                Socket socket;
                try {
                    socket = server.accept();
                } catch (IOException e) {
                    return;
                }
                daemon(() -> {
                    try (socket) {
                        socket.setTcpNoDelay(true);
                        speaker.speak(
                                socket,
                                new BufferedInputStream(socket.getInputStream()),
                                new BufferedOutputStream(socket.getOutputStream(), 64 * 1024));
                    } catch (IOException e) {
                        // the other side has gone
                    }
                });
            }
        });
        return server;
    }

    static Thread daemon(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b; (b = in.read()) != '\n'; ) {
            if (b < 0) {
                throw new EOFException();
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** One command in RESP2, its items as bytes. */
    static List<byte[]> command(InputStream in) throws IOException {
        int items = Integer.parseInt(line(in).substring(1));
        List<byte[]> command = new ArrayList<>();
        for (int i = 0; i < items; i++) {
            byte[] item = in.readNBytes(Integer.parseInt(line(in).substring(1)));
            line(in);
            command.add(item);
        }
        return command;
    }

    static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** A value of the given length, which tells its key. */
    static byte[] value(String key, int length) {
        byte[] value = new byte[length];
        Arrays.fill(value, (byte) 'v');
        byte[] name = bytes("value of " + key + " ");
        System.arraycopy(name, 0, value, 0, Math.min(name.length, length));
        return value;
    }

    /** A cache server's answer to a request: writes it to out. */
    interface CacheAnswer {
        void answer(Socket socket, List<byte[]> command, OutputStream out) throws IOException;
    }

    /** A cache server: PING, CLIENT and SELECT as the protocol says, requests by the given answer. */
    ServerSocket cache(CacheAnswer requests) throws IOException {
        return listen((socket, in, out) -> {
            while (true) {
                List<byte[]> command = command(in);
                String name = text(command.get(0)).toUpperCase(Locale.ROOT);
                switch (name) {
                    case "PING" -> out.write(bytes("+PONG\r\n"));
                    case "CLIENT", "SELECT" -> out.write(bytes("+OK\r\n"));
                    case "CACHE.GET", "CACHE.SET" -> requests.answer(socket, command, out);
                    default -> out.write(bytes("-ERR unknown command\r\n"));
                }
                out.flush();
            }
        });
    }

    static void hit(OutputStream out, byte[] value) throws IOException {
        out.write(bytes("*3\r\n$" + value.length + "\r\n"));
        out.write(value);
        out.write(bytes("\r\n$3\r\nhit\r\n$-1\r\n"));
    }

    static void miss(OutputStream out) throws IOException {
        out.write(bytes("*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"));
    }

    /** A request as the origin reads it. */
    record Asked(String method, String path, Map<String, String> headers, byte[] body) {
        String id() {
            return headers.getOrDefault("x-correlation-id", "");
        }
    }

    interface OriginAnswer {
        void answer(Asked asked, OutputStream out) throws IOException;
    }

    ServerSocket origin(OriginAnswer requests) throws IOException {
        return listen((socket, in, out) -> {
            while (true) {
                String[] first = line(in).split(" ");
                Map<String, String> headers = headers(in);
                byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
                if (first[1].startsWith("/-/")) {
                    ok(out, bytes("ok"));
                } else {
                    requests.answer(new Asked(first[0], first[1], headers, body), out);
                }
                out.flush();
            }
        });
    }

    static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line; !(line = line(in)).isEmpty(); ) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return headers;
    }

    static void ok(OutputStream out, byte[] body) throws IOException {
        out.write(bytes("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n"));
        out.write(body);
    }

    /** A server as discovery lists it. */
    static final class Host {
        final String name;
        final String dial;
        final String kind;
        volatile String health = "ready";
        volatile long changedAt;

        Host(String name, ServerSocket socket, String kind) {
            this.name = name;
            this.dial = "127.0.0.1:" + socket.getLocalPort();
            this.kind = kind;
        }

        String json() {
            return "{\"host\":\"" + name + "\",\"dial\":\"" + dial + "\",\"site\":\"a\",\"class\":\"" + kind
                    + "\",\"block\":1,\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":0}";
        }
    }

    final List<Host> hosts = new ArrayList<>();
    private long sequence = 41;
    /** So many seconds each answer of discovery waits before it is written. */
    volatile double discoveryDelay;

    void host(String name, ServerSocket socket, String kind) {
        hosts.add(new Host(name, socket, kind));
    }

    synchronized void change(Host host, String health) {
        host.health = health;
        host.changedAt = ++sequence;
        notifyAll();
    }

    private synchronized String list(long index, boolean whole) {
        StringBuilder list = new StringBuilder();
        for (Host host : hosts) {
            boolean shown = whole ? !host.health.equals("gone") : host.changedAt > index;
            if (shown) {
                list.append(list.length() > 0 ? "," : "").append(host.json());
            }
        }
        return "{\"seq\":" + sequence + ",\"whole\":" + whole + ",\"hosts\":[" + list + "]}";
    }

    private synchronized void await(long index, long millis) {
        long end = System.nanoTime() + millis * 1_000_000;
        try {
            while (sequence <= index && System.nanoTime() < end) {
                wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
            }
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Discovery: whole lists at once, watches when something newer exists or the wait is over. */
    ServerSocket discovery() throws IOException {
        return listen((socket, in, out) -> {
            while (true) {
                String path = line(in).split(" ")[1];
                headers(in);
                long index = parameter(path, "index");
                boolean whole = index < 0;
                if (!whole) {
                    await(index, Math.max(0, parameter(path, "wait")));
                }
                if (discoveryDelay > 0) {
                    pause(discoveryDelay);
                }
                ok(out, bytes(list(index, whole)));
                out.flush();
            }
        });
    }

    private static long parameter(String path, String name) {
        int at = path.indexOf(name + "=");
        if (at < 0) {
            return -1;
        }
        String rest = path.substring(at + name.length() + 1);
        int end = rest.indexOf('&');
        return Long.parseLong(end < 0 ? rest : rest.substring(0, end));
    }

    // ---- the router ----

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            return socket.getLocalPort();
        }
    }

    int port;
    int controlPort;
    Path config;
    final List<Process> routers = new ArrayList<>();

    /** Writes the configuration of one router of a small deployment; the figures are those of the site file. */
    void configure(ServerSocket discovery, boolean control) throws IOException {
        port = freePort();
        controlPort = control ? freePort() : 0;
        config = temporary.resolve("config.json");
        writeConfig(discovery);
    }

    void writeConfig(ServerSocket discovery) throws IOException {
        String discoveryAt = "127.0.0.1:" + discovery.getLocalPort();
        int peer = freePort();
        String text = "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"" + discoveryAt
                + "\",\"seed\":\"8c1f30d27a5be964\",\n"
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\n"
                + (controlPort > 0 ? "\"control\":\"127.0.0.1:" + controlPort + "\",\n" : "")
                + "\"peer_listen\":\"127.0.0.1:" + peer + "\",\"peers\":[\"127.0.0.1:" + peer + "\"],\n"
                + "\"known\":" + list(-1, true) + ",\n"
                + "\"settings\":{\"me\":0,\"replicas_of_me\":1,\"az\":0,\"tick_ns\":5000000,\"discovery\":\"push\",\n"
                + " \"family_info\":{\"mode\":\"aside\",\"origin_kind\":2},\"zones\":[\"a\"],"
                + "\"kinds\":[\"full-box\",\"half-box\",\"origin\"],\"over_share_worth\":0.1,\n"
                + " \"accounts\":[{\"name\":\"luzon-north\",\"quota_per_s\":400.0,\"fraction\":1.0}],\n"
                + " \"profiles\":[\n"
                + "  {\"name\":\"read\",\"effect\":\"pure\",\"group\":\"all\",\"objective_ns\":500000000,"
                + "\"deadline_ns\":1500000000,\"value\":2.0,\"late_share\":0.0,\"stream\":false,"
                + "\"window_ns\":5000000000},\n"
                + "  {\"name\":\"keyed-write\",\"effect\":\"token\",\"group\":\"all\",\"objective_ns\":1200000000,"
                + "\"deadline_ns\":4000000000,\"value\":3.0,\"late_share\":0.0,\"stream\":false,"
                + "\"window_ns\":4000000000},\n"
                + "  {\"name\":\"once-write\",\"effect\":\"side_effect\",\"group\":\"all\",\"objective_ns\":1500000000,"
                + "\"deadline_ns\":4000000000,\"value\":3.0,\"late_share\":0.0,\"stream\":false,"
                + "\"window_ns\":5000000000}],\n"
                + " \"limits\":{\"try_limit\":3,\"may_duplicate\":false,\"cancel\":true,\"probes\":true,\"peers\":true,"
                + "\"retry_after\":true,\"max_retry_after_ns\":2000000000,\"connect_timeout_ns\":200000000,"
                + "\"streams_per_conn\":100,\"conn_idle_ns\":60000000000,\"most_held\":21197},\n"
                + " \"rules\":{\"drain_grace_ns\":500000000,\"ask_within_ns\":10000000000,\"start_capacity\":0.33,"
                + "\"cold_ns\":7800000000,\"overload_factor\":3.0,\"fall_ns\":2000000000,"
                + "\"answer_slack_ns\":20000000}}}\n";
        Files.writeString(config, text);
    }

    /** The command `run` of the deploy file. */
    static String runCommand() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring(7, line.lastIndexOf('"'));
            }
        }
        throw new IOException("deploy/balancer.toml has no run");
    }

    /** Starts the router by the deploy file's command; what it logs goes to the record. */
    Process start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand()).redirectErrorStream(true);
        Path scratch = temporary.resolve("tmpdir");
        Files.createDirectories(scratch);
        builder.environment().put("NODE_NAME", "n1");
        builder.environment().put("NODE_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("NODE_CONFIG", config.toString());
        builder.environment().put("TMPDIR", scratch.toString());
        builder.environment().remove("NODE_CONTROL");
        Process router = builder.start();
        routers.add(router);
        say("router started by: %s (pid %d)", runCommand(), router.pid());
        daemon(() -> {
            try (InputStream log = new BufferedInputStream(router.getInputStream())) {
                while (true) {
                    say("router %d log: %s", router.pid(), line(log));
                }
            } catch (IOException e) {
                // it has ended
            }
        });
        daemon(() -> {
            try {
                say("router %d ended with status %d", router.pid(), router.waitFor());
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        return router;
    }

    /** Waits until the router answers PING. */
    void awaitReady(Process router) {
        for (int i = 0; i < 300; i++) {
            try (Client client = new Client()) {
                client.socket.setSoTimeout(1000);
                client.send(bytes("*1\r\n$4\r\nPING\r\n"));
                if (client.reply().text.equals("+PONG")) {
                    say("router answers PING");
                    return;
                }
            } catch (IOException e) {
                if (!router.isAlive()) {
                    break;
                }
            }
            pause(0.1);
        }
        say("could not run: the router is not ready");
        end(2);
    }

    static void signal(Process process, String name) throws IOException {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    // ---- clients ----

    /** An answer: a line, or the length of a bulk string with what it begins with. */
    record Reply(String text, int length) {}

    final class Client implements Closeable {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Client() throws IOException {
            this(0);
        }

        /** With a receive buffer of so many bytes, if over 0. */
        Client(int receiveBuffer) throws IOException {
            socket = new Socket();
            if (receiveBuffer > 0) {
                socket.setReceiveBufferSize(receiveBuffer);
            }
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(LOOPBACK, port), 2000);
            in = new BufferedInputStream(socket.getInputStream(), 8 * 1024);
            out = socket.getOutputStream();
        }

        void send(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }

        Reply reply() throws IOException {
            String head = line(in);
            if (!head.startsWith("$")) {
                return new Reply(head, -1);
            }
            int length = Integer.parseInt(head.substring(1));
            byte[] value = in.readNBytes(length);
            if (value.length < length) {
                throw new EOFException("a value of " + length + " bytes ended after " + value.length);
            }
            line(in);
            return new Reply("value of " + length + " bytes: "
                    + text(Arrays.copyOf(value, Math.min(40, length))), length);
        }

        /** Reads so many bytes at so many a second, 0 for as fast as they come; throws if the connection ends before. */
        void readOn(int bytes, double rate, String who) throws IOException {
            byte[] part = new byte[8 * 1024];
            double began = now();
            double said = began;
            for (int left = bytes; left > 0; ) {
                int come = in.read(part, 0, Math.min(part.length, left));
                if (come < 0) {
                    throw new EOFException("the connection has ended, " + left + " bytes have not come");
                }
                left -= come;
                if (rate > 0) {
                    pause(Math.max(0, began + (bytes - left) / rate - now()));
                }
                if (now() > said + 2) {
                    said = now();
                    say("%s has read %d bytes of %d", who, bytes - left, bytes);
                }
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static byte[] get(String key, String id, int deadlineMillis) {
        return request("CACHE.GET", key, id, "c=read,t=luzon-north,d=" + deadlineMillis, null);
    }

    static byte[] set(String key, String id, String facts, byte[] value) {
        return request("CACHE.SET", key, id, facts, value);
    }

    private static byte[] request(String name, String key, String id, String facts, byte[] value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(bytes("*" + (value == null ? 4 : 5) + "\r\n"));
        List<byte[]> items = new ArrayList<>(List.of(bytes(name), bytes(key), bytes(id), bytes(facts)));
        if (value != null) {
            items.add(value);
        }
        for (byte[] item : items) {
            out.writeBytes(bytes("$" + item.length + "\r\n"));
            out.writeBytes(item);
            out.writeBytes(bytes("\r\n"));
        }
        return out.toByteArray();
    }

    /** A key of 16 hexadecimal digits. */
    static String key(String kind, int number) {
        return String.format(Locale.ROOT, "%s%0" + (16 - kind.length()) + "x", kind, number);
    }

    // ---- the end ----

    private boolean ended;

    /** Ends all that was started, and the test. */
    void end(int status) {
        synchronized (routers) {
            if (!ended) {
                ended = true;
                say("verdict: %s", status == 0 ? "the rule held" : status == 1 ? "the rule was broken" : "could not run");
                close();
                System.out.println(status == 0 ? "held" : status == 1 ? "broken" : "could not run");
                Runtime.getRuntime().halt(status);
            }
        }
    }

    @Override
    public void close() {
        for (Process router : routers) {
            router.destroyForcibly();
            try {
                router.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                // goes on ending
            }
        }
        for (Closeable c : open) {
            try {
                c.close();
            } catch (IOException e) {
                // it is closed
            }
        }
        try (var files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            System.err.println(e);
        }
    }
}
