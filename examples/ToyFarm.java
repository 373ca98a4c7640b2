import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A toy farm to try the router with: discovery at port 8500, the origin at 7000 and an application server at 7001,
 * all on 127.0.0.1. Run it with {@code java examples/ToyFarm.java}; {@code java examples/ToyFarm.java 2 quiet} has two
 * application servers, at 7001 and 7002, and shows no commands; {@code 2 quiet 65536} has values of 65,536 bytes, and with a fourth
 * word {@code forget} application servers keep nothing, so that each read goes on to the origin. It keeps nothing but what passed
 * through it, and all its application servers keep the same.
 */
public final class ToyFarm {
    private static final Map<String, String> ORIGIN = new ConcurrentHashMap<>();
    private static final Map<String, String> CACHE = new ConcurrentHashMap<>();
    private static int servers = 1;
    private static boolean quiet;
    /** Of a value that was never written, at least. */
    private static int valueBytes;

    private static boolean forgets;

    /** Speaks with one connection until it ends. */
    private interface Speaker {
        String answer(InputStream in) throws IOException;
    }

    public static void main(String[] args) throws IOException {
        servers = args.length > 0 ? Integer.parseInt(args[0]) : 1;
        quiet = args.length > 1 && args[1].equals("quiet");
        valueBytes = args.length > 2 ? Integer.parseInt(args[2]) : 0;
        forgets = args.length > 3 && args[3].equals("forget");
        ORIGIN.put("hello", "world");
        listen(8500, in -> discovery(line(in), in));
        listen(7000, in -> origin(line(in), in));
        for (int i = 1; i <= servers; i++) {
            listen(7000 + i, ToyFarm::cache);
        }
        System.out.println("discovery at 8500, origin at 7000, application servers from 7001 on: " + servers);
    }

    private static void listen(int port, Speaker speaker) throws IOException {
        ServerSocket server = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        new Thread(() -> {
                    while (true) {
                        try {
                            Socket socket = server.accept();
                            new Thread(() -> speak(socket, speaker)).start();
                        } catch (IOException e) {
                            System.err.println(e);
                        }
                    }
                })
                .start();
    }

    private static void speak(Socket socket, Speaker speaker) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (String answer; (answer = speaker.answer(in)) != null; ) {
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
            }
        } catch (IOException e) {
            System.err.println(e);
        }
    }

    /** The list never changes: the first call gets it, a watch gets nothing after its wait. */
    private static String discovery(String request, InputStream in) throws IOException {
        if (request == null) {
            return null;
        }
        headers(in);
        if (!request.contains("index=")) {
            StringBuilder hosts = new StringBuilder(host("o", 7000, "origin"));
            for (int i = 1; i <= servers; i++) {
                hosts.append(',').append(host("s" + i, 7000 + i, "box"));
            }
            return http(200, "{\"seq\":1,\"whole\":true,\"hosts\":[" + hosts + "]}");
        }
        try {
            Thread.sleep(Long.parseLong(request.replaceAll(".*wait=([0-9]+).*", "$1")));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return http(200, "{\"seq\":1,\"whole\":false,\"hosts\":[]}");
    }

    private static String host(String name, int port, String kind) {
        return "{\"host\":\"" + name + "\",\"dial\":\"127.0.0.1:" + port + "\",\"site\":\"a\",\"class\":\"" + kind
                + "\",\"block\":1,\"health\":\"ready\",\"share\":1.0,\"born_ms\":0}";
    }

    /** A read is stored at the application server, which missed it; a write drops the copy there. */
    private static String origin(String request, InputStream in) throws IOException {
        if (request == null) {
            return null;
        }
        int length = headers(in);
        String key = request.split(" ")[1].substring(1);
        if (request.startsWith("PUT")) {
            ORIGIN.put(key, new String(in.readNBytes(length), StandardCharsets.ISO_8859_1));
            CACHE.remove(key);
            return http(200, "stored");
        }
        String value = ORIGIN.computeIfAbsent(key, ToyFarm::unwritten);
        if (!forgets) {
            CACHE.put(key, value);
        }
        return http(200, value);
    }

    private static String unwritten(String key) {
        String text = "nothing is stored under " + key;
        return text + ".".repeat(Math.max(0, valueBytes - text.length()));
    }

    private static String http(int status, String body) {
        return "HTTP/1.1 " + status + " OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static String cache(InputStream in) throws IOException {
        String count = line(in);
        if (count == null) {
            return null;
        }
        String[] command = new String[Integer.parseInt(count.substring(1))];
        for (int i = 0; i < command.length; i++) {
            int length = Integer.parseInt(line(in).substring(1));
            command[i] = new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
            line(in);
        }
        if (!quiet) {
            System.out.println("application server: " + String.join(" ", command));
        }
        if (command[0].equals("PING")) {
            return "+PONG\r\n";
        }
        if (command[0].equals("CLIENT")) {
            return "+OK\r\n"; // the router asks this to tell late bytes of one answer from the next answer
        }
        String value = CACHE.get(command[1]);
        String first = value == null ? "$-1" : "$" + value.length() + "\r\n" + value;
        return "*3\r\n" + first + "\r\n" + (value == null ? "$4\r\nmiss" : "$3\r\nhit") + "\r\n$-1\r\n";
    }

    /** Passes the headers and returns the body's length. */
    private static int headers(InputStream in) throws IOException {
        int length = 0;
        for (String line; (line = line(in)) != null && !line.isEmpty(); ) {
            if (line.toLowerCase().startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(15).trim());
            }
        }
        return length;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c; (c = in.read()) != '\n'; ) {
            if (c < 0) {
                return null;
            }
            line.append((char) c);
        }
        return line.toString().stripTrailing();
    }
}
