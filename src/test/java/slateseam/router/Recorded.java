package slateseam.router;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.fail;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.json.JSONObject;
import slateseam.router.config.Features;
import slateseam.router.config.NodeConfig;
import slateseam.router.net.Console;
import slateseam.router.net.Log;
import slateseam.router.net.Reader;

/**
 * Plays a recorded exchange against a router, on ephemeral loopback ports and with a clock that the exchange
 * advances. The steps, one a line, are:
 *
 * <ul>
 *   <li>{@code WHO > BYTES}: WHO writes.
 *   <li>{@code WHO >> BYTES}: WHO writes in the round of the next step, when the router has polled its sockets but has
 *       not yet run its deadlines.
 *   <li>{@code WHO < BYTES}: WHO receives exactly these bytes.
 *   <li>{@code WHO is refused}: WHO cannot connect.
 *   <li>{@code WHO closes}, {@code WHO resets}: WHO closes or resets its connection.
 *   <li>{@code WHO sees the end}: WHO receives the end of its connection and nothing before it.
 *   <li>{@code WHO reads to the end}: WHO receives the end of its connection, whatever comes before it.
 *   <li>{@code WHO stops listening}, {@code WHO listens again}: WHO closes or opens its listener.
 *   <li>{@code clock +MS}: advances the clock by MS milliseconds.
 *   <li>{@code end}: begins a planned shutdown; {@code ended}: the shutdown is complete;
 *       {@code not ended}: it is not.
 *   <li>{@code start}: starts another router with the same files.
 *   <li>{@code log TEXT}: the log contains TEXT.
 *   <li>{@code log stops}, {@code log goes on}: the reader of the log stops or continues.
 *   <li>{@code reload OLD => NEW}: changes the configuration or settings file and has it read again.
 *   <li>{@code show the hot list}: prints the hot list.
 *   <li>{@code stats POINTER VALUE}: the statistics have VALUE at the JSON pointer.
 *   <li>{@code file NAME TEXT}: writes a file in the directory <code>{dir}</code>.
 *   <li>{@code repeat N} to {@code again}: plays the lines in between N times.
 * </ul>
 *
 * <p>The following lines come before all others:
 *
 * <ul>
 *   <li>{@code config OLD => NEW}: changes the configuration.
 *   <li>{@code setting NAME VALUE}: adds a line to the settings file.
 *   <li>{@code given NAME TEXT}: creates a file that exists at the start.
 *   <li>{@code define NAME TEXT}: TEXT replaces <code>{NAME}</code> in the lines that follow.
 * </ul>
 *
 * <p>If no step names discovery, it sends the router once what the router already knows.
 *
 * <p>WHO is a server of the configuration or, with any other name, a user agent. A user agent connects on its first
 * line: to the multi-get listener if its name begins with {@code mget}, to the tap with {@code tap}, to the second
 * address with {@code call}. A server accepts its next connection when its last one is gone, or under a further name:
 * {@code s1#2} is a second connection of {@code s1}.
 */
final class Recorded {
    /** Limits the rounds waited for, so that a test cannot hang; no test depends on how long a round takes. */
    private static final int MAX_ROUNDS = 5_000;

    private static final long MILLI = 1_000_000L;
    private static final int MAX_STATS_BYTES = 64 * 1024;
    private static final Pattern LONG = Pattern.compile("\\{(\\d+) (.)}");
    private static final List<String> SERVERS = List.of("s1", "s2", "origin", "discovery", "discovery2");

    private static final String WHOLE_LIST = "GET /api/targets HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n";
    private static final Pattern CHUNK = Pattern.compile("\\{chunk}(.*?)\\{end}", Pattern.DOTALL);
    private static final List<String> BEFORE = List.of("config ", "setting ", "given ", "define ");

    private final Map<String, ServerSocketChannel> listeners = new HashMap<>();
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private final Map<String, String> defined = new LinkedHashMap<>();
    private final Path dir = Files.createTempDirectory("slateseam");
    private final Map<String, SocketChannel> channels = new HashMap<>();
    private final Reader log = new Reader();
    private final Console console = new Console("n0", log);
    private final List<String> steps;
    private Router router;
    private final String config;
    private long now = 1_000_000_000_000L * MILLI;

    Recorded(Path file) throws Exception {
        steps = repeated(Files.readAllLines(file).stream()
                .filter(line -> !line.isBlank() && !line.startsWith("#"))
                .toList());
        String text = Files.readString(Path.of("src/test/resources/node.json"));
        for (String line : steps) {
            text = line.startsWith("config ") ? changed(text, line.substring(7)) : text;
            String[] words = line.split(" ", 3);
            if (words[0].equals("define")) {
                defined.put("{" + words[1] + "}", defined(words[2]));
            } else if (words[0].equals("given")) {
                Files.writeString(dir.resolve(words[1]), words[2]);
            }
        }
        config = text;
        for (String name : SERVERS) {
            listeners.put(name, ServerSocketChannel.open().bind(new InetSocketAddress("127.0.0.1", 0)));
            listeners.get(name).configureBlocking(false);
            addresses.put(name, (InetSocketAddress) listeners.get(name).getLocalAddress());
        }
        start();
    }

    private void start() throws Exception {
        NodeConfig node = NodeConfig.parse(fill(config));
        Features features = Features.read(settings("", ""), node);
        router = new Router(node, features, () -> now, new Log("n0", () -> now, console), console);
        if (!router.listens() && steps.stream().noneMatch(line -> line.startsWith("discovery"))) {
            tellKnown(node.known().toString());
        }
    }

    /**
     * Answers for a discovery service that the exchange does not mention: sends once what the router already knows.
     */
    private void tellKnown(String list) throws IOException {
        channels.remove("discovery");
        assertThat(read("discovery", WHOLE_LIST.length()))
                .isEqualTo(text(WHOLE_LIST.getBytes(StandardCharsets.US_ASCII)));
        write(
                channel("discovery"),
                ("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                        .getBytes(StandardCharsets.US_ASCII));
    }

    private static List<String> repeated(List<String> lines) {
        List<String> all = new ArrayList<>();
        for (int i = 0; i < lines.size(); i++) {
            if (lines.get(i).startsWith("repeat ")) {
                int end = i + lines.subList(i, lines.size()).indexOf("again");
                for (int n = Integer.parseInt(lines.get(i).substring(7)); n > 0; n--) {
                    all.addAll(lines.subList(i + 1, end));
                }
                i = end;
            } else {
                all.add(lines.get(i));
            }
        }
        return all;
    }

    /** Writes the settings file with one replacement. */
    private Path settings(String was, String is) throws IOException {
        List<String> lines = new ArrayList<>();
        for (String line : steps) {
            if (line.startsWith("setting ")) {
                lines.add(fill(line.substring(8).replace(was, is)));
            }
        }
        return Files.write(dir.resolve("slateseam.conf"), lines);
    }

    private static String changed(String text, String change) {
        String[] words = change.split(" => ", -1);
        assertThat(text).contains(words[0]);
        return text.replace(words[0], words[1]);
    }

    private String defined(String text) {
        String filled = text;
        for (Map.Entry<String, String> entry : defined.entrySet()) {
            filled = filled.replace(entry.getKey(), entry.getValue());
        }
        return filled;
    }

    private String fill(String text) throws IOException {
        String filled = defined(text);
        for (String name : SERVERS) {
            ServerSocketChannel listener = listeners.get(name);
            if (listener.isOpen()) {
                String port = Integer.toString(listener.socket().getLocalPort());
                filled = filled.replace("{" + name + "}", "127.0.0.1:" + port).replace("{" + name + ".port}", port);
            }
        }
        return filled.replace("{dir}", dir.toString());
    }

    void play() throws Exception {
        try {
            for (String line : steps) {
                if (BEFORE.stream().noneMatch(line::startsWith)) {
                    step(line);
                }
            }
        } finally {
            log.stop(false);
            console.close();
            try (Stream<Path> files = Files.list(dir)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
            Files.delete(dir);
        }
    }

    private void step(String line) throws Exception {
        String[] words = line.split(" ", 3);
        String rest = words.length == 3 ? words[2] : "";
        if (line.equals("end")) {
            router.end();
            round();
        } else if (line.equals("start")) {
            start();
        } else if (line.equals("show the hot list")) {
            router.showHotList();
            round();
        } else if (words[0].equals("reload")) {
            Path file = Files.createTempFile("node", ".json");
            String[] change = line.substring(7).split(" => ", -1);
            boolean node = config.contains(change[0]);
            router.reload(
                    Files.writeString(file, fill(node ? changed(config, line.substring(7)) : config)),
                    settings(node ? "" : change[0], node ? "" : change[1]));
            round();
            Files.delete(file);
        } else if (words[0].equals("stats")) {
            assertThat(stats().query(words[1])).as(line).hasToString(rest);
        } else if (line.equals("ended")) {
            for (int i = 0; i < MAX_ROUNDS && !router.loop().isStopped(); i++) {
                round();
            }
            assertThat(router.loop().isStopped()).as(line).isTrue();
        } else if (line.equals("not ended")) {
            assertThat(router.loop().isStopped()).as("whether it has stopped").isFalse();
        } else if (words[0].equals("file")) {
            Files.writeString(dir.resolve(words[1]), rest);
        } else if (words[0].equals("clock")) {
            for (long left = Long.parseLong(words[1].substring(1)); left > 0; left -= 10) {
                now += Math.min(left, 10) * MILLI;
                router.loop().round(0);
            }
        } else if (line.equals("log stops") || line.equals("log goes on")) {
            log.stop(line.endsWith("stops"));
        } else if (words[0].equals("log")) {
            String logged = line.substring(4).replace("\\n", "\n");
            for (int i = 0; i < MAX_ROUNDS && !log.text().contains(logged); i++) {
                round();
            }
            assertThat(log.text()).contains(logged);
        } else if (words[1].equals(">>")) {
            SocketChannel channel = channel(words[0]);
            ByteBuffer late = ByteBuffer.wrap(bytes(rest));
            router.loop().handOver(() -> writeNow(channel, late));
        } else if (words[1].equals(">")) {
            write(channel(words[0]), bytes(rest));
        } else if (words[1].equals("<")) {
            byte[] expected = bytes(rest);
            assertThat(read(words[0], expected.length)).as(line).isEqualTo(text(expected));
        } else if (line.endsWith("is refused")) {
            assertThatThrownBy(() -> open(words[0])).as(line).isInstanceOf(ConnectException.class);
        } else if (words[1].equals("closes")) {
            channels.remove(words[0]).close();
            round();
        } else if (words[1].equals("resets")) {
            channels.get(words[0]).setOption(StandardSocketOptions.SO_LINGER, 0);
            channels.remove(words[0]).close();
            round();
        } else if (line.endsWith("sees the end")) {
            assertThat(read(words[0], 1)).as(line).isEqualTo("(end)");
            channels.remove(words[0]).close();
        } else if (line.endsWith("reads to the end")) {
            while (!read(words[0], 1).equals("(end)")) {
                assertThat(channels.get(words[0]).isConnected()).as(line).isTrue();
            }
        } else if (line.endsWith("stops listening")) {
            listeners.get(words[0]).close();
        } else if (line.endsWith("listens again")) {
            listeners.put(words[0], ServerSocketChannel.open().bind(addresses.get(words[0])));
            listeners.get(words[0]).configureBlocking(false);
        } else {
            fail("no such step: " + line);
        }
    }

    private JSONObject stats() throws IOException {
        write(channel("call stats"), "GET /stats HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        String answer = read("call stats", MAX_STATS_BYTES);
        channels.remove("call stats").close();
        return new JSONObject(answer.substring(answer.indexOf('{'), answer.lastIndexOf('}') + 1));
    }

    private void round() throws IOException {
        router.loop().round(MILLI);
    }

    private SocketChannel channel(String who) throws IOException {
        SocketChannel channel = channels.get(who);
        String server = who.replaceFirst("#.*", "");
        for (int i = 0; channel == null && i < MAX_ROUNDS; i++) {
            channel = listeners.containsKey(server) ? listeners.get(server).accept() : connect(who);
            round();
        }
        assertThat(channel).as("a connection of " + who).isNotNull();
        channel.configureBlocking(false);
        channels.put(who, channel);
        return channel;
    }

    private SocketChannel connect(String who) throws IOException {
        for (int i = 0; !router.listens() && i < MAX_ROUNDS; i++) {
            round();
        }
        return open(who);
    }

    private SocketChannel open(String who) throws IOException {
        SocketChannel channel = SocketChannel.open();
        channel.setOption(
                StandardSocketOptions.TCP_NODELAY,
                true); // otherwise a second part waits for the acknowledgement of the first
        if (who.startsWith("tap")) {
            channel.setOption(StandardSocketOptions.SO_RCVBUF, 4096); // fills up soon if the user agent does not read
        }
        channel.connect(
                who.startsWith("call")
                        ? router.controlAddress()
                        : who.startsWith("tap")
                                ? router.tapAddress()
                                : who.startsWith("mget") ? router.multiGetAddress() : router.address());
        return channel;
    }

    private void write(SocketChannel channel, byte[] bytes) throws IOException {
        ByteBuffer left = ByteBuffer.wrap(bytes);
        while (left.hasRemaining()) {
            channel.write(left);
            round();
        }
        round();
    }

    private static void writeNow(SocketChannel channel, ByteBuffer bytes) {
        try {
            channel.write(bytes);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads the given number of bytes, or up to the end of the connection. */
    private String read(String who, int length) throws IOException {
        SocketChannel channel = channel(who);
        ByteBuffer in = ByteBuffer.allocate(length);
        int last = 0;
        for (int i = 0; last >= 0 && in.hasRemaining() && i < MAX_ROUNDS; i++) {
            round();
            last = channel.read(in);
        }
        return text(in.flip()) + (last < 0 ? "(end)" : "");
    }

    private static String text(byte[] bytes) {
        return text(ByteBuffer.wrap(bytes));
    }

    private static String text(ByteBuffer bytes) {
        return StandardCharsets.ISO_8859_1.decode(bytes).toString().replace("\r\n", "\\r\\n");
    }

    /**
     * Returns the bytes of a line of the file. {@code {9 x}} stands for x nine times, {@code {length}} for the
     * length of the body after the empty line, {@code {chunk}...{end}} for an HTTP chunk of the text in between.
     */
    private byte[] bytes(String recorded) throws IOException {
        String plain = LONG.matcher(fill(recorded).replace("\\r", "\r").replace("\\n", "\n"))
                .replaceAll(run -> run.group(2).repeat(Integer.parseInt(run.group(1))));
        plain = CHUNK.matcher(plain)
                .replaceAll(chunk -> Matcher.quoteReplacement(
                        Integer.toHexString(chunk.group(1).length()) + "\r\n" + chunk.group(1) + "\r\n"));
        int body = plain.indexOf("\r\n\r\n") + 4;
        return plain.replace("{length}", Integer.toString(plain.length() - body))
                .getBytes(StandardCharsets.ISO_8859_1);
    }
}
