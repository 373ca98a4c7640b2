package slateseam.simulate.network;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.json.JSONArray;
import org.json.JSONObject;
import slateseam.router.Router;
import slateseam.router.config.Features;
import slateseam.router.config.NodeConfig;
import slateseam.router.net.Console;
import slateseam.router.net.Log;
import slateseam.standin.Wire;

/**
 * Measures how fast routers run on the virtual network, with stand-ins that cost next to nothing. Not a test; run by
 * {@code java -cp target/classes:target/test-classes:LIBRARIES slateseam.simulate.network.Throughput ROUTERS SERVERS
 * REQUESTS_A_SECOND VIRTUAL_SECONDS RUNS THREADS}.
 */
final class Throughput {
    private static final long MILLI = 1_000_000;
    private static final long SECOND = 1_000 * MILLI;
    private static final int KEPT = 8;

    private final VirtualNetwork net;
    private final UniformRandomProvider random;
    private final int routers;
    private final int servers;
    private final List<Client> idle = new ArrayList<>();
    private long asked;
    private long answered;
    private long unavailable;
    private int lines;

    private Throughput(int routers, int servers, long seed) throws Exception {
        this.routers = routers;
        this.servers = servers;
        random = source(seed, "load");
        net = new VirtualNetwork(Conditions.usual(), actor -> source(seed, actor), 1_800_000_000L * SECOND);
        Path none = Files.createTempFile("slateseam", ".conf");
        for (int i = 0; i < servers; i++) {
            net.machine(server(i), "site" + i % 3);
            net.listen(server(i) + ":6379", wire -> new Server());
        }
        net.machine("10.9.0.1", "site0");
        net.listen("10.9.0.1:80", wire -> new Origin());
        net.machine("10.8.0.1", "outside");
        for (int i = 0; i < routers; i++) {
            net.machine(router(i), "site" + i % 3);
            net.listen(router(i) + ":8500", wire -> new Agent());
        }
        for (int i = 0; i < routers; i++) {
            start(i, none);
        }
        Files.delete(none);
    }

    private static UniformRandomProvider source(long seed, String actor) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(seed << 32 ^ actor.hashCode());
    }

    private static String server(int i) {
        return "10.1." + i / 250 + "." + (i % 250 + 1);
    }

    private static String router(int i) {
        return "10.2.0." + (i + 1);
    }

    private void start(int i, Path none) throws Exception {
        JSONObject config = new JSONObject(Files.readString(Path.of("src/test/resources/node.json")));
        config.put("listen", router(i) + ":7400")
                .put("discovery", "127.0.0.1:8500")
                .put("peer_listen", router(i) + ":7946")
                .put(
                        "peers",
                        new JSONArray(IntStream.range(0, routers)
                                .mapToObj(n -> router(n) + ":7946")
                                .toList()))
                .put("known", farm());
        config.remove("peers_all");
        config.getJSONObject("settings").put("me", i).put("replicas_of_me", routers);
        VirtualProvider process = net.provider(router(i));
        Log log = new Log("n" + i, net::now, line -> lines++);
        NodeConfig node = NodeConfig.parse(config.toString());
        Router router = new Router(
                node,
                Features.read(none, node),
                Router.Place.on(process, Features.OFF),
                net::now,
                log,
                new Console("n" + i, new ByteArrayOutputStream()));
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

    private JSONObject farm() {
        JSONArray hosts = new JSONArray();
        for (int i = 0; i < servers; i++) {
            hosts.put(host("s" + i, server(i) + ":6379", "box"));
        }
        hosts.put(host("o", "10.9.0.1:80", "origin"));
        return new JSONObject().put("seq", 41).put("whole", true).put("hosts", hosts);
    }

    private static JSONObject host(String name, String dial, String kind) {
        return new JSONObject()
                .put("host", name)
                .put("dial", dial)
                .put("site", "a")
                .put("class", kind)
                .put("block", kind.equals("box") ? 1 : 0)
                .put("health", "ready")
                .put("share", 1.0)
                .put("born_ms", 0);
    }

    private void load(double perSecond, long until) {
        net.at(net.now() + (long) (-Math.log(1 - random.nextDouble()) / perSecond * SECOND), () -> {
            if (net.now() < until) {
                Client client = idle.size() > KEPT * routers ? idle.remove(random.nextInt(idle.size())) : new Client();
                client.ask();
                load(perSecond, until);
            }
        });
    }

    /** A user agent's connection; one request at a time. */
    private final class Client extends Teller {
        private boolean up;
        private byte[] waiting;

        Client() {
            wire = net.connect("10.8.0.1", router(random.nextInt(routers)) + ":7400", this);
        }

        void ask() {
            asked++;
            long key = (long) (Math.pow(random.nextDouble(), 3) * 10_000);
            byte[] command = bytes(RouterStage.command("CACHE.GET", "key" + key, "id" + asked, "c=read,t=acme,d=1500"));
            if (up) {
                wire.write(command);
            } else {
                waiting = command;
            }
        }

        @Override
        public void opened(Wire on) {
            up = true;
            wire.write(waiting);
        }

        @Override
        public void received(Wire on, byte[] bytes) {
            super.received(on, bytes);
            boolean whole =
                    got.charAt(0) == '$' ? got.length() > 400 && got.indexOf("\r\n", 6) > 0 : got.indexOf("\r\n") > 0;
            if (whole) {
                answered++;
                unavailable += got.charAt(0) == '-' ? 1 : 0;
                got.setLength(0);
                idle.add(this);
            }
        }

        @Override
        public void ended(Wire on) {
            idle.remove(this);
            on.end();
        }

        @Override
        public void broken(Wire on) {
            idle.remove(this);
        }
    }

    private final class Server extends Teller {
        private static final byte[] VALUE = bytes("*1\r\n$400\r\n" + "v".repeat(400) + "\r\n");
        private static final byte[] MISS = bytes("*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n");

        @Override
        public void received(Wire on, byte[] bytes) {
            super.received(on, bytes);
            if (got.indexOf("*1\r\n$4\r\nPING\r\n") == 0) {
                on.write(bytes("+PONG\r\n"));
                got.setLength(0);
            } else if (got.indexOf("c=read") > 0 && got.lastIndexOf("\r\n") > got.indexOf("c=read")) {
                boolean hit = got.indexOf("7") < 0;
                got.setLength(0);
                net.at(net.now() + 2 * MILLI, () -> on.write(hit ? VALUE : MISS));
            }
        }

        @Override
        public void ended(Wire on) {
            on.end();
        }
    }

    private final class Origin extends Teller {
        private static final byte[] VALUE = bytes("HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n" + "v".repeat(400));

        @Override
        public void received(Wire on, byte[] bytes) {
            super.received(on, bytes);
            if (got.indexOf("\r\n\r\n") > 0) {
                got.setLength(0);
                net.at(net.now() + 40 * MILLI, () -> on.write(VALUE));
            }
        }

        @Override
        public void ended(Wire on) {
            on.end();
        }
    }

    /** Gives the whole list, and then has nothing to tell. */
    private final class Agent extends Teller {
        @Override
        public void received(Wire on, byte[] bytes) {
            super.received(on, bytes);
            if (got.indexOf("\r\n\r\n") > 0) {
                boolean watch = got.indexOf("wait=") > 0;
                got.setLength(0);
                String body = farm().put("seq", 42).toString();
                net.at(
                        net.now() + (watch ? 5 * SECOND : 0),
                        () -> on.write(
                                bytes("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)));
            }
        }
    }

    public static void main(String[] args) throws Exception {
        int[] n = IntStream.range(0, 6).map(i -> Integer.parseInt(args[i])).toArray();
        ExecutorService threads = Executors.newFixedThreadPool(n[5], action -> {
            Thread thread = new Thread(action);
            thread.setDaemon(true);
            return thread;
        });
        double[] spent = new double[n[4]];
        List<Future<String>> runs = IntStream.range(0, n[4])
                .mapToObj(seed -> threads.submit(() -> {
                    long start = cpu();
                    Throughput run = new Throughput(n[0], n[1], seed);
                    long built = cpu();
                    long end = run.net.now() + n[3] * SECOND;
                    run.load(n[2], end);
                    long steps = 0;
                    for (; run.net.next() <= end; steps++) {
                        run.net.step();
                    }
                    spent[seed] = (cpu() - start) / 1e9;
                    return String.format(
                            "built in %.3f s, steps %d, happenings %d, asked %d, answered %d, unavailable %d,"
                                    + " log lines %d, hash %016x",
                            (built - start) / 1e9,
                            steps,
                            run.net.happenings(),
                            run.asked,
                            run.answered,
                            run.unavailable,
                            run.lines,
                            run.net.hash());
                }))
                .collect(Collectors.toList());
        String last = "";
        for (Future<String> run : runs) {
            last = run.get();
        }
        threads.shutdown();
        double total = Arrays.stream(spent).sum();
        Arrays.sort(spent);
        System.out.printf(
                "%d runs, %.1f virtual seconds a second of the processor; a run took %.3f s at the median,"
                        + " %.3f to %.3f; heap %d MB%nthe last: %s%n",
                n[4],
                n[4] * n[3] / total,
                spent[n[4] / 2],
                spent[0],
                spent[n[4] - 1],
                Runtime.getRuntime().totalMemory() >> 20,
                last);
    }

    /** Of this thread: how busy the machine is with other things must not count. */
    private static long cpu() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }
}
