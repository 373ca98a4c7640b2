package slateseam.simulate.network;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import slateseam.router.Router;
import slateseam.router.config.Features;
import slateseam.router.config.NodeConfig;
import slateseam.router.net.Console;
import slateseam.router.net.Log;
import slateseam.standin.Wire;

/** An unchanged router on a virtual network, with an application server that answers each read with its key. */
final class RouterStage {
    static final long START = 1_800_000_000_000_000_000L;
    static final long MILLI = 1_000_000;

    final VirtualNetwork net;
    final List<String> log = new ArrayList<>();
    final Router router;
    final VirtualProvider process;

    RouterStage(Conditions conditions, long seed) throws Exception {
        this(conditions, seed, Runtime.getRuntime().maxMemory());
    }

    /** The same where the heap of the router has so many bytes. */
    RouterStage(Conditions conditions, long seed, long heapBytes) throws Exception {
        net = network(conditions, seed);
        for (String ip : List.of("10.0.0.1", "10.0.3.1", "10.0.3.9", "10.0.9.1")) {
            net.machine(ip, ip.startsWith("10.0.9") ? "away" : "home");
        }
        serve();
        String config = Files.readString(Path.of("src/test/resources/node.json"))
                .replace("\"listen\": \"127.0.0.1:0", "\"listen\": \"10.0.0.1:7400")
                .replace("127.0.0.1:0", "10.0.0.1:7946")
                .replace("127.0.0.1:1\"]", "10.0.0.1:7946\"]")
                .replace("{discovery}", "127.0.0.1:8500")
                .replace("{s1}", "10.0.3.1:6379")
                .replace("{origin}", "10.0.3.9:80");
        Path none = Files.createTempFile("slateseam", ".conf");
        NodeConfig node = NodeConfig.parse(config);
        process = net.provider("10.0.0.1");
        router = new Router(
                node,
                Features.read(none, node),
                new Router.Place(process, heapBytes, null, null),
                net::now,
                new Log("n0", net::now, log::add),
                new Console("n0", new ByteArrayOutputStream()));
        Files.delete(none);
        process.drive(new Program() {
            @Override
            public boolean round() throws IOException {
                router.loop().round(0);
                return !router.loop().isStopped();
            }

            @Override
            public long nextDeadline() {
                return router.loop().nextDeadline();
            }
        });
    }

    static VirtualNetwork network(Conditions conditions, long seed) {
        return new VirtualNetwork(conditions, actor -> source(seed, actor), START);
    }

    private static UniformRandomProvider source(long seed, String actor) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(seed << 32 ^ actor.hashCode());
    }

    void run(long millis) {
        net.run(net.now() + millis * MILLI);
    }

    /** Connects a user agent. */
    Teller userAgent() {
        Teller teller = new Teller();
        net.connect("10.0.9.1", "10.0.0.1:7400", teller);
        return teller;
    }

    /** Connects a user agent, and lets so much time pass. */
    Teller userAgentAfter(long millis) {
        Teller teller = userAgent();
        run(millis);
        return teller;
    }

    /** Lets the application server take connections. */
    void serve() {
        net.listen("10.0.3.1:6379", wire -> new Server());
    }

    static String command(String... words) {
        StringBuilder command = new StringBuilder("*" + words.length + "\r\n");
        for (String word : words) {
            command.append('$')
                    .append(word.length())
                    .append("\r\n")
                    .append(word)
                    .append("\r\n");
        }
        return command.toString();
    }

    /** Answers each read with its key. */
    private static final class Server extends Teller {
        @Override
        public void received(Wire on, byte[] bytes) {
            super.received(on, bytes);
            String[] lines = got.toString().split("\r\n");
            if (got.toString().startsWith("*1") && lines.length == 3) {
                on.write(bytes("+PONG\r\n"));
                got.setLength(0);
            } else if (lines.length == 9
                    && got.toString().endsWith("\r\n")
                    && lines[8].endsWith("d=" + time(lines[8]))
                    && lines[7].equals("$" + lines[8].length())) {
                on.write(bytes("*1\r\n$" + lines[4].length() + "\r\n" + lines[4] + "\r\n"));
                got.setLength(0);
            }
        }

        private static String time(String facts) {
            return facts.substring(facts.lastIndexOf('=') + 1);
        }

        @Override
        public void ended(Wire on) {
            on.end();
        }
    }
}
