import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * What the cases share: the record, stand-ins of discovery, cache servers, origin and clients, and routers that are started with
 * the command `run` of the deploy file. All addresses are loopback addresses.
 */
final class Kit {
    static final InetAddress HOST = InetAddress.getLoopbackAddress();
    private static final long T0 = System.nanoTime();
    private static final SecureRandom PORTS = new SecureRandom();

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path folder;
    final Path temp;
    private final PrintWriter record;
    final List<Closeable> open = new CopyOnWriteArrayList<>();
    final List<Router> routers = new CopyOnWriteArrayList<>();

    Kit(String folder) throws IOException {
        this.folder = Path.of(folder);
        this.temp = Files.createTempDirectory("review-");
        this.record = new PrintWriter(Files.newBufferedWriter(this.folder.resolve("record.txt")), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        note("start with TROUBLE=" + (trouble ? 1 : 0));
    }

    /** Milliseconds since the start of the case. */
    static double ms() {
        return (System.nanoTime() - T0) / 1e6;
    }

    synchronized void note(String line) {
        record.printf(java.util.Locale.ROOT, "%10.1f ms  %s%n", ms(), line);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread go(String name, Action action) {
        Thread thread = new Thread(() -> {
            try {
                action.run();
            } catch (Exception e) {
                // the end of a connection ends its thread
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface Action {
        void run() throws Exception;
    }

    /** A free port below those that the system gives to connections, so that none of them takes it before the router does. */
    static int freePort() throws IOException {
        for (int i = 0; i < 100; i++) {
            int port = 12_000 + PORTS.nextInt(18_000);
            try (ServerSocket socket = new ServerSocket(port, 1, HOST)) {
                return port;
            } catch (IOException e) {
                // taken
            }
        }
        throw new IOException("no free port");
    }

    void close() {
        for (Router router : routers) {
            router.kill();
        }
        for (Closeable c : open) {
            try {
                c.close();
            } catch (IOException e) {
                // it is over
            }
        }
        try (var paths = Files.walk(temp)) {
            paths.sorted(Collections.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException e) {
            // what is left lies in the temporary folder
        }
    }

    /** Ends the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    void end(int status, String why) {
        for (Router router : routers) {
            router.kill();
            router.copyLog();
        }
        note("exit " + status + ": " + why);
        System.out.println((status == 1 ? "BROKEN: " : status == 0 ? "held: " : "could not run: ") + why);
        System.exit(status);
    }

    /** Runs a case; whatever keeps it from running is no verdict. */
    static void run(String folder, Case body) throws IOException {
        Kit kit = new Kit(folder);
        Thread limit = new Thread(() -> {
            sleep(110_000);
            kit.end(2, "the case took too long");
        });
        limit.setDaemon(true);
        limit.start();
        try {
            body.play(kit);
        } catch (Throwable e) {
            StringBuilder at = new StringBuilder(e.toString());
            for (StackTraceElement element : e.getStackTrace()) {
                at.append(" < ").append(element);
            }
            kit.end(2, at.toString());
        }
    }

    interface Case {
        void play(Kit kit) throws Exception;
    }

    // ---------------------------------------------------------------- discovery

    /** The agent of discovery: the whole list, and a watch that is answered when something newer is there. */
    final class Discovery implements Closeable {
        final ServerSocket listener;
        private long seq = 41;
        private final Map<String, String> hosts = new LinkedHashMap<>();
        private final Map<String, Long> changedAt = new HashMap<>();
        /** How long each answer is held up. */
        volatile long delayMillis;

        Discovery() throws IOException {
            listener = new ServerSocket(0, 64, HOST);
            open.add(this);
            go("discovery", () -> {
                while (true) {
                    Socket s = listener.accept();
                    go("discovery call", () -> serve(s));
                }
            });
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        synchronized void put(String host, String dial, String kind, String health) {
            seq++;
            hosts.put(host, "{\"host\":\"" + host + "\",\"dial\":\"" + dial + "\",\"site\":\"a\",\"class\":\"" + kind
                    + "\",\"block\":1,\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":0}");
            changedAt.put(host, seq);
            notifyAll();
            note("discovery: version " + seq + " has " + host + " " + health);
        }

        synchronized String list(long since) {
            List<String> told = new ArrayList<>();
            hosts.forEach((host, entry) -> {
                if (changedAt.get(host) > since) {
                    told.add(entry);
                }
            });
            return "{\"seq\":" + seq + ",\"whole\":" + (since < 0) + ",\"hosts\":[" + String.join(",", told) + "]}";
        }

        private synchronized void await(long since, long millis) throws InterruptedException {
            long until = System.nanoTime() + millis * 1_000_000;
            while (seq <= since && System.nanoTime() < until) {
                wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
            }
        }

        private void serve(Socket s) throws Exception {
            open.add(s);
            InputStream in = new BufferedInputStream(s.getInputStream());
            while (true) {
                Http call = Http.read(in);
                long since = call.number("index", -1);
                if (since >= 0) {
                    await(since, Math.min(60_000, call.number("wait", 0)));
                }
                sleep(delayMillis);
                byte[] body = list(since).getBytes(StandardCharsets.UTF_8);
                s.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length + "\r\n\r\n" + new String(body, StandardCharsets.UTF_8)).getBytes(StandardCharsets.UTF_8));
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    /** The head of an HTTP call, and its body. */
    record Http(String method, String target, Map<String, String> headers, byte[] body) {
        static Http read(InputStream in) throws IOException {
            String first = line(in);
            String[] words = first.split(" ");
            Map<String, String> headers = new HashMap<>();
            for (String line; !(line = line(in)).isEmpty(); ) {
                int colon = line.indexOf(':');
                headers.put(line.substring(0, colon).toLowerCase(java.util.Locale.ROOT), line.substring(colon + 1).trim());
            }
            byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
            return new Http(words[0], words[1], headers, body);
        }

        long number(String name, long otherwise) {
            for (String part : target.replaceFirst("^[^?]*\\??", "").split("&")) {
                if (part.startsWith(name + "=")) {
                    return Long.parseLong(part.substring(name.length() + 1));
                }
            }
            return otherwise;
        }
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

    // ---------------------------------------------------------------- servers

    /** What a server is asked for. */
    record Ask(String server, String command, String key, String id, String facts, byte[] value, double at) {}

    /** Answers one request; null for a miss at a cache server. */
    interface Service {
        /** Writes the answer itself and returns true, or returns false for the usual one. */
        boolean answer(Ask ask, OutputStream out) throws Exception;
    }

    final List<Ask> asks = new CopyOnWriteArrayList<>();
    final Map<String, CacheServer> caches = new LinkedHashMap<>();

    /** A cache server: it stores, and answers what it lacks with a miss. */
    final class CacheServer implements Closeable {
        final String name;
        final ServerSocket listener;
        final Map<String, byte[]> stored = new ConcurrentHashMap<>();
        final Map<String, Boolean> missed = new ConcurrentHashMap<>();
        volatile Service service = (ask, out) -> false;
        /** Held up or hanging: takes commands and answers nothing. */
        volatile boolean hangs;
        volatile long workMillis = 5;

        CacheServer(String name) throws IOException {
            this.name = name;
            listener = new ServerSocket(0, 256, HOST);
            open.add(this);
            caches.put(name, this);
            go(name, () -> {
                while (true) {
                    Socket s = listener.accept();
                    s.setTcpNoDelay(true);
                    go(name, () -> serve(s));
                }
            });
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        private void serve(Socket s) throws Exception {
            open.add(s);
            InputStream in = new BufferedInputStream(s.getInputStream(), 1 << 16);
            OutputStream out = s.getOutputStream();
            while (true) {
                List<byte[]> words = command(in);
                String command = text(words.get(0));
                while (hangs) {
                    sleep(20);
                }
                if (command.equals("PING")) {
                    out.write(bytes("+PONG\r\n"));
                } else if (command.equals("CACHE.GET") || command.equals("CACHE.SET")) {
                    Ask ask = new Ask(name, command, text(words.get(1)), text(words.get(2)), text(words.get(3)),
                            words.size() > 4 ? words.get(4) : null, ms());
                    asks.add(ask);
                    note(name + " got " + command + " " + ask.key + " id=" + ask.id + " " + ask.facts);
                    sleep(workMillis);
                    if (!service.answer(ask, out)) {
                        byte[] value = command.equals("CACHE.GET") ? stored.get(ask.key) : null;
                        if (value == null) {
                            missed.put(ask.id, true);
                            out.write(bytes("*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"));
                        } else {
                            out.write(head(value.length));
                            out.write(value);
                            out.write(bytes(TAIL));
                        }
                    }
                } else if (command.equals("CLIENT") || command.equals("SELECT")) {
                    out.write(bytes("+OK\r\n"));
                } else {
                    out.write(bytes("-ERR unknown command\r\n"));
                }
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    static final String TAIL = "\r\n$3\r\nhit\r\n$-1\r\n";

    /** The beginning of a served answer of a cache server, up to its value. */
    static byte[] head(int length) {
        return bytes("*3\r\n$" + length + "\r\n");
    }

    /** The origin: a read gives a value made for the request, a write a receipt. */
    final class Origin implements Closeable {
        final ServerSocket listener;
        volatile Service service = (ask, out) -> false;
        volatile long workMillis = 20;

        Origin() throws IOException {
            listener = new ServerSocket(0, 256, HOST);
            open.add(this);
            go("origin", () -> {
                while (true) {
                    Socket s = listener.accept();
                    s.setTcpNoDelay(true);
                    go("origin", () -> serve(s));
                }
            });
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        private void serve(Socket s) throws Exception {
            open.add(s);
            InputStream in = new BufferedInputStream(s.getInputStream(), 1 << 16);
            OutputStream out = s.getOutputStream();
            while (true) {
                Http call = Http.read(in);
                Ask ask = new Ask("origin", call.method, call.target.substring(1),
                        call.headers.getOrDefault("x-correlation-id", ""), call.headers.getOrDefault("x-facts", ""), call.body, ms());
                if (!call.target.startsWith("/-/")) {
                    asks.add(ask);
                    note("origin got " + ask.command + " " + ask.key + " id=" + ask.id + " " + ask.facts + " bytes=" + call.body.length);
                }
                sleep(workMillis);
                if (!service.answer(ask, out)) {
                    byte[] body = bytes("value of " + ask.key + " for " + ask.id);
                    if (ask.command.equals("GET")) {
                        for (CacheServer cache : caches.values()) {
                            if (cache.missed.containsKey(ask.id)) {
                                cache.stored.put(ask.key, body);
                            }
                        }
                    }
                    out.write(bytes("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n"));
                    out.write(body);
                }
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    static List<byte[]> command(InputStream in) throws IOException {
        String first = line(in);
        int count = Integer.parseInt(first.substring(1));
        List<byte[]> words = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int length = Integer.parseInt(line(in).substring(1));
            words.add(in.readNBytes(length));
            in.readNBytes(2);
        }
        return words;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    // ---------------------------------------------------------------- clients

    static byte[] get(String key, String id, String facts) {
        return resp("CACHE.GET", key, id, facts);
    }

    static byte[] resp(String... words) {
        StringBuilder text = new StringBuilder("*" + words.length + "\r\n");
        for (String word : words) {
            text.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
        }
        return bytes(text.toString());
    }

    /** An answer of the router, as the client saw it. */
    record Answer(String kind, byte[] value, double at) {
        boolean served() {
            return kind.equals("$");
        }

        @Override
        public String toString() {
            return served() ? "a value of " + value.length + " bytes" : kind;
        }
    }

    /** One connection of a client. */
    final class Client implements Closeable {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Client(int port) throws IOException {
            this(port, 0);
        }

        Client(int port, int receiveBuffer) throws IOException {
            socket = new Socket();
            if (receiveBuffer > 0) {
                socket.setReceiveBufferSize(receiveBuffer);
            }
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(HOST, port), 2_000);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
            open.add(this);
        }

        void send(byte[] bytes) throws IOException {
            out.write(bytes);
        }

        /** The next answer; throws EOFException at the end of the connection, and a SocketException at a reset. */
        Answer answer() throws IOException {
            String first = line(in);
            if (first.startsWith("$")) {
                int length = Integer.parseInt(first.substring(1));
                if (length < 0) {
                    return new Answer("null", null, ms());
                }
                byte[] value = in.readNBytes(length + 2);
                if (value.length < length + 2) {
                    throw new EOFException("after " + value.length + " of " + length + " bytes of a value");
                }
                return new Answer("$", Arrays.copyOf(value, length), ms());
            }
            return new Answer(first, null, ms());
        }

        Answer ask(byte[] bytes) throws IOException {
            send(bytes);
            return answer();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    // ---------------------------------------------------------------- routers

    /** A class of requests in the settings. */
    static String profile(String name, String effect, long aimMillis, long deadlineMillis, long windowMillis) {
        return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"group\":\"all\",\"objective_ns\":" + aimMillis
                + "000000,\"deadline_ns\":" + deadlineMillis + "000000,\"window_ns\":" + windowMillis
                + "000000,\"value\":2.0,\"late_share\":0.0,\"stream\":false}";
    }

    static final String LIMITS = "{\"try_limit\":3,\"may_duplicate\":false,\"cancel\":true,\"probes\":true,\"peers\":false,"
            + "\"retry_after\":true,\"max_retry_after_ns\":2000000000,\"connect_timeout_ns\":200000000,"
            + "\"streams_per_conn\":100,\"conn_idle_ns\":60000000000,\"most_held\":21197}";

    static final String READ = profile("read", "pure", 500, 1500, 5000);
    static final String KEYED = profile("keyed-write", "token", 1200, 4000, 4000);
    static final String ONCE = profile("once-write", "side_effect", 1500, 4000, 5000);

    /** One real router, started with `run`. */
    final class Router {
        final int port = freePort();
        final int control = freePort();
        final Path config;
        final Path tmp;
        final Path log;
        Discovery discovery;
        /** How the settings say that discovery tells changes: push or ask. */
        String mode = "push";
        /** The limits in the settings. */
        String limits = LIMITS;
        final String known;
        Process process;

        Router(Discovery discovery, String... profiles) throws IOException {
            this.discovery = discovery;
            known = discovery.list(-1);
            config = temp.resolve("config-" + port + ".json");
            tmp = Files.createDirectory(temp.resolve("tmp-" + port));
            log = temp.resolve("router-" + port + ".log");
            configure(profiles);
            routers.add(this);
        }

        /** Copies what the router logged into the record, without its figures. */
        void copyLog() {
            try {
                for (String line : Files.readAllLines(log)) {
                    if (!line.startsWith("slateseam.")) {
                        note("router's log: " + line);
                    }
                }
            } catch (IOException e) {
                note("router's log cannot be read");
            }
        }

        void configure(String... profiles) throws IOException {
            String json = "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"" + discovery.address()
                    + "\",\"control\":\"127.0.0.1:" + control + "\",\"seed\":\"8c1f30d27a5be964\","
                    + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"peers\":[],\"known\":" + known + ","
                    + "\"settings\":{\"me\":0,\"replicas_of_me\":1,\"az\":0,\"tick_ns\":5000000,\"discovery\":\"" + mode + "\","
                    + "\"family_info\":{\"mode\":\"aside\",\"origin_kind\":2},\"zones\":[\"a\"],"
                    + "\"kinds\":[\"full-box\",\"half-box\",\"origin\"],\"over_share_worth\":0.1,"
                    + "\"accounts\":[{\"name\":\"acme\",\"quota_per_s\":250.0,\"fraction\":1.0}],"
                    + "\"profiles\":[" + String.join(",", profiles) + "],"
                    + "\"limits\":" + limits + ","
                    + "\"rules\":{\"drain_grace_ns\":500000000,\"ask_within_ns\":10000000000,\"start_capacity\":0.33,"
                    + "\"cold_ns\":7800000000,\"overload_factor\":3.0,\"fall_ns\":2000000000,\"answer_slack_ns\":20000000}}}";
            Path next = temp.resolve("next-" + port + ".json");
            Files.writeString(next, json);
            Files.move(next, config, java.nio.file.StandardCopyOption.ATOMIC_MOVE,
                    java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }

        void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", deployCommand("run"));
            Map<String, String> env = builder.environment();
            env.put("NODE_CONFIG", config.toString());
            env.put("NODE_NAME", "n0");
            env.put("NODE_LISTEN", "127.0.0.1:" + port);
            env.put("NODE_DISCOVERY", discovery.address());
            env.put("NODE_CONTROL", "127.0.0.1:" + control);
            env.put("TMPDIR", tmp.toString());
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            note("router started, process " + process.pid());
        }

        /** Waits until PING is answered with PONG. */
        void awaitReady() throws IOException {
            for (int i = 0; i < 300; i++) {
                try (Client client = new Client(port)) {
                    client.socket.setSoTimeout(1_000);
                    if (client.ask(resp("PING")).kind.equals("+PONG")) {
                        note("router is ready");
                        return;
                    }
                } catch (IOException e) {
                    // not yet
                }
                if (!process.isAlive()) {
                    throw new IOException("the router ended with " + process.exitValue());
                }
                sleep(50);
            }
            throw new IOException("the router was not ready within 15 s");
        }

        void signal(String name) throws Exception {
            note("SIG" + name + " to the router");
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }

        void kill() {
            if (process != null && process.isAlive()) {
                process.destroyForcibly();
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    // nothing follows
                }
            }
        }
    }

    /** A command of the deploy file. */
    static String deployCommand(String key) throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
            if (line.startsWith(key + " = \"")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).replace("\\\"", "\"");
            }
        }
        throw new IOException("no " + key + " in the deploy file");
    }
}
