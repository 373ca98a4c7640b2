package slateseam.rehearse;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import slateseam.router.Router;
import slateseam.router.config.Features;
import slateseam.router.config.NodeConfig;
import slateseam.router.config.NodeConfig.InvalidConfigException;
import slateseam.router.handover.Handover;
import slateseam.router.net.Clock;
import slateseam.router.net.Console;
import slateseam.router.net.Log;

/**
 * Plays each thing that a router meets in service once or a few times, on loopback addresses and within seconds: hits,
 * misses, writes, answers that spoil, calls at the second address, new settings, a planned end. What is answered is looked
 * at only so far that the rehearsal cannot pass by a router that does not serve.
 */
public final class Rehearsal {
    private static final int PATIENCE_MILLIS = 5_000;
    private static final int ROUNDS = 40;
    private final List<ServerSocket> servers = new ArrayList<>();
    private final Path folder = Files.createTempDirectory("slateseam");

    /** Creates it. */
    public Rehearsal() throws IOException {}

    /** Plays it once, with the features of a settings file; null for none. */
    public void play(Path features, java.io.PrintStream err) throws IOException, InvalidConfigException {
        try {
            String discovery = serve(this::discovery);
            String cache = serve(this::cache);
            String origin = serve(this::origin);
            Path file = Files.writeString(folder.resolve("node.json"), config(discovery, cache, origin));
            NodeConfig config = NodeConfig.read(file);
            Clock clock = Clock.system();
            Console console = new Console("rehearsal", err);
            Handover handover = new Handover(folder);
            Features on = features == null ? Features.OFF : Features.read(features, config);
            Router router = new Router(
                    config,
                    on,
                    Router.Place.system(on, handover),
                    clock,
                    new Log("rehearsal", clock, console),
                    console);
            while (!router.listens()) {
                router.loop().round(Clock.MILLI);
            }
            InetSocketAddress address = router.address();
            InetSocketAddress control = router.controlAddress();
            Thread userAgent = new Thread(() -> {
                try {
                    ask(address, control, () -> router.reload(file, null));
                } catch (IOException e) {
                    err.println("slateseam: rehearse: " + e);
                }
                router.end();
            });
            userAgent.setDaemon(true);
            userAgent.start();
            router.run();
            handover.close();
            console.close();
        } finally {
            for (ServerSocket server : servers) {
                server.close();
            }
            try (Stream<Path> files = Files.list(folder)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
            Files.delete(folder);
        }
    }

    private static void ask(InetSocketAddress address, InetSocketAddress control, Runnable reload) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(PATIENCE_MILLIS);
            command(socket, "PING");
            for (int i = 0; i < ROUNDS; i++) {
                command(socket, "CACHE.GET", "hit" + i, "h" + i, "c=read,t=acme,d=900");
                command(socket, "CACHE.GET", "miss" + i, "m" + i, "c=read,t=acme,d=900,r=1");
                command(socket, "CACHE.SET", "key" + i, "s" + i, "c=put,t=acme,d=900,k=" + i, "value");
            }
            command(socket, "CACHE.GET", "spoilt", "x", "c=read,t=acme,d=900");
            command(socket, "CACHE.GET", "long", "l", "c=read,t=acme,d=900");
            command(socket, "CACHE.SET", "long", "w", "c=once,t=acme,d=900", "v".repeat(200_000));
            command(socket, "CACHE.GET", "key", "u", "c=unknown,d=900");
        }
        for (String call : List.of(
                "GET /healthcheck", "GET /stats", "GET /nothing", "POST /healthcheck/fail", "POST /healthcheck/ok")) {
            call(control, call);
        }
        reload.run();
        call(control, "GET /stats");
    }

    private static void command(Socket socket, String... words) throws IOException {
        StringBuilder command = new StringBuilder("*" + words.length + "\r\n");
        for (String word : words) {
            command.append('$')
                    .append(word.length())
                    .append("\r\n")
                    .append(word)
                    .append("\r\n");
        }
        socket.getOutputStream().write(command.toString().getBytes(StandardCharsets.ISO_8859_1));
        String line = line(socket.getInputStream());
        if (line.startsWith("$")) {
            socket.getInputStream().skipNBytes(Integer.parseInt(line.substring(1)) + 2L);
        }
    }

    private static void call(InetSocketAddress control, String call) throws IOException {
        try (Socket socket = new Socket(control.getAddress(), control.getPort())) {
            socket.setSoTimeout(PATIENCE_MILLIS);
            socket.getOutputStream().write((call + " HTTP/1.1\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            socket.getInputStream().readAllBytes();
        }
    }

    /** Serves one connection; an exception ends it. */
    private interface Service {
        void serve(Socket socket) throws IOException;
    }

    private String serve(Service service) throws IOException {
        ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        servers.add(server);
        daemon(() -> {
            while (true) {
                Socket socket = server.accept();
                daemon(() -> service.serve(socket));
            }
        });
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** What a thread does until it fails, as it does at the end. */
    private interface Work {
        void run() throws IOException;
    }

    private static void daemon(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                // its socket was closed
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void discovery(Socket socket) throws IOException {
        for (int seq = 42; ; seq++) {
            head(socket.getInputStream());
            body(socket, "200 OK", "{\"seq\":" + seq + ",\"whole\":false,\"hosts\":[]}");
            if (seq > 44) {
                return; // and says nothing from then on, with the connection open
            }
        }
    }

    private void cache(Socket socket) throws IOException {
        while (true) {
            InputStream in = socket.getInputStream();
            String key = null;
            int items = Integer.parseInt(line(in).substring(1));
            for (int i = 0; i < items; i++) {
                byte[] item = in.readNBytes(Integer.parseInt(line(in).substring(1)));
                in.skipNBytes(2);
                key = i == 1 ? new String(item, StandardCharsets.ISO_8859_1) : key;
            }
            String answer = key == null
                    ? "+PONG\r\n"
                    : key.startsWith("hit")
                            ? "*2\r\n$5\r\nvalue\r\n$3\r\nhit\r\n"
                            : key.equals("long")
                                    ? "*2\r\n$200000\r\n" + "v".repeat(200_000) + "\r\n$3\r\nhit\r\n"
                                    : key.equals("spoilt") ? "*1\r\n:7\r\n" : "*2\r\n$-1\r\n$4\r\nmiss\r\n";
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    private void origin(Socket socket) throws IOException {
        while (true) {
            List<String> head = head(socket.getInputStream());
            for (String header : head) {
                if (header.startsWith("Content-Length: ")) {
                    socket.getInputStream().skipNBytes(Integer.parseInt(header.substring(16)));
                }
            }
            body(socket, "200 OK", "value");
        }
    }

    private static void body(Socket socket, String status, String body) throws IOException {
        socket.getOutputStream()
                .write(("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.ISO_8859_1));
    }

    private static List<String> head(InputStream in) throws IOException {
        List<String> head = new ArrayList<>();
        for (String line; !(line = line(in)).isEmpty(); ) {
            head.add(line);
        }
        return head;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c; (c = in.read()) != '\n'; ) {
            if (c < 0) {
                throw new IOException("the connection ended");
            }
            line.append(c == '\r' ? "" : (char) c);
        }
        return line.toString();
    }

    private static String config(String discovery, String cache, String origin) {
        return """
                {"name": "rehearsal", "listen": "127.0.0.1:0", "control": "127.0.0.1:0", "discovery": "%s",
                 "seed": "1", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                 "peer_listen": "127.0.0.1:0", "peers": ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"],
                 "known": {"seq": 41, "whole": true, "hosts": [
                  {"host": "s", "dial": "%s", "site": "a", "class": "box", "block": 1, "health": "ready", "share": 1.0,
                   "born_ms": 0},
                  {"host": "o", "dial": "%s", "site": "a", "class": "origin", "block": 0, "health": "ready",
                   "share": 1.0, "born_ms": 0}]},
                 "settings": {"me": 0, "replicas_of_me": 3, "az": 0, "tick_ns": 5000000, "discovery": "push",
                  "family_info": {"mode": "aside", "origin_kind": 1}, "zones": ["a"], "kinds": ["box", "origin"],
                  "accounts": [{"name": "acme", "quota_per_s": 1000.0, "fraction": 1.0}],
                  "profiles": [
                   {"name": "read", "effect": "pure", "group": "all", "objective_ns": 500000000,
                    "deadline_ns": 1500000000, "value": 2.0},
                   {"name": "put", "effect": "token", "group": "all", "objective_ns": 1200000000,
                    "deadline_ns": 4000000000, "value": 3.0, "window_ns": 4000000000},
                   {"name": "once", "effect": "side_effect", "group": "all", "objective_ns": 1500000000,
                    "deadline_ns": 4000000000, "value": 3.0}],
                  "limits": {"try_limit": 3, "may_duplicate": false, "cancel": true, "probes": true, "peers": true,
                   "retry_after": true, "max_retry_after_ns": 2000000000, "connect_timeout_ns": 200000000,
                   "streams_per_conn": 100, "conn_idle_ns": 60000000000, "most_held": 1000},
                  "rules": {"drain_grace_ns": 500000000, "start_capacity": 0.33, "cold_ns": 7800000000,
                   "overload_factor": 3.0, "fall_ns": 2000000000, "answer_slack_ns": 20000000}}}
                """.formatted(discovery, cache, origin);
    }
}
