package slateseam;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that ask a router process whose servers send bytes unasked, and what came of it. */
final class UnaskedLoad {
    private static final int CLIENTS = 24;
    private static final int KEYS = 400;
    /** Stands for a value whose end did not come, which a client can tell and takes for a failure. */
    private static final String CUT = "-CUT";

    /** The place of the server that sends bytes unasked. */
    enum Place {
        CACHE,
        ORIGIN
    }

    private final Path jar;
    private final Path folder;
    private final boolean probes;
    private final AtomicInteger served = new AtomicInteger();

    UnaskedLoad(Path jar, Path folder, boolean probes) {
        this.jar = jar;
        this.folder = folder;
        this.probes = probes;
    }

    /** What came of a load. */
    record Outcome(List<String> breaks, String figures) {}

    /** Plays a load with requests of each client in turn, one after another. */
    Outcome play(Place place, UnaskedServer.Plan plan, int requests, long seed) throws Exception {
        RequestLedger ledger = new RequestLedger();
        try (UnaskedServer noisy = new UnaskedServer(place == Place.ORIGIN, plan, ledger, seed);
                UnaskedServer cache = new UnaskedServer(false, null, ledger, seed + 1);
                UnaskedServer origin = new UnaskedServer(true, null, ledger, seed + 2);
                ServerSocket discovery = new ServerSocket(0)) {
            boolean first = place == Place.CACHE;
            String config = RouterProcess.config(
                            first ? noisy.port() : cache.port(),
                            first ? origin.port() : noisy.port(),
                            discovery.getLocalPort(),
                            1_024)
                    .replace("\"quota_per_s\": 100.0", "\"quota_per_s\": 10000.0")
                    .replace("\"probes\": true", "\"probes\": " + probes);
            try (RouterProcess router =
                    RouterProcess.start(jar, folder, config, "").awaitServing()) {
                Thread drain = new Thread(() -> drain(router));
                drain.setDaemon(true);
                drain.start();
                long begin = System.nanoTime();
                ask(router, ledger, requests, seed);
                double seconds = (System.nanoTime() - begin) / 1e9;
                String figures = String.format(
                        Locale.ROOT,
                        "unasked %d, values of others %d, two at once %d, refused though run %d, lost %d, served %d of %d,"
                                + " connections %d, probes %d, %.1f s",
                        noisy.unasked.get(),
                        ledger.count("a value"),
                        ledger.count("two"),
                        ledger.count("refused"),
                        ledger.count("lost"),
                        served.get(),
                        CLIENTS * requests,
                        noisy.connections.get(),
                        noisy.probes.get(),
                        seconds);
                return new Outcome(ledger.breaks(), figures);
            }
        }
    }

    private static void drain(RouterProcess router) {
        try {
            router.awaitLine("a line that never comes");
        } catch (IOException | AssertionError e) {
            // The process has ended.
        }
    }

    private void ask(RouterProcess router, RequestLedger ledger, int requests, long seed) throws Exception {
        ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);
        try {
            List<Future<Void>> ends = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int number = i;
                ends.add(clients.submit((Callable<Void>) () -> client(router, ledger, requests, seed, number)));
            }
            for (Future<Void> end : ends) {
                end.get();
            }
        } finally {
            clients.shutdownNow();
        }
    }

    private Void client(RouterProcess router, RequestLedger ledger, int requests, long seed, int number)
            throws IOException {
        Random random = new Random(seed * 1_000 + number);
        Socket socket = router.connect();
        InputStream in = new BufferedInputStream(socket.getInputStream());
        for (int i = 0; i < requests; i++) {
            String id = String.format(Locale.ROOT, "%08x%04x%04x", (int) seed, number, i);
            String key = "k" + random.nextInt(KEYS);
            double kind = random.nextDouble();
            boolean once = kind > 0.95;
            socket.getOutputStream().write(command(id, key, kind, once));
            String answer = answer(in);
            ledger.answered(id, once, answer);
            served.addAndGet(answer != null && !answer.startsWith("-") ? 1 : 0);
            if (answer == null || answer.equals(CUT)) {
                socket.close();
                socket = router.connect();
                in = new BufferedInputStream(socket.getInputStream());
            }
        }
        socket.close();
        return null;
    }

    private static byte[] command(String id, String key, double kind, boolean once) {
        if (once) {
            return RouterProcess.command("CACHE.SET", key, id, "c=once,t=acme,d=3000", "w");
        }
        return kind > 0.9
                ? RouterProcess.command("CACHE.SET", key, id, "c=put,t=acme,d=3000,k=" + id, "w")
                : RouterProcess.command("CACHE.GET", key, id, "c=read,t=acme,d=1400");
    }

    /** A value, or the line of another answer; null at the end of the connection. */
    private static String answer(InputStream in) throws IOException {
        String line = RouterProcess.line(in);
        if (line == null || !line.startsWith("$")) {
            return line;
        }
        int length = Integer.parseInt(line.substring(1));
        byte[] value = in.readNBytes(length + 2);
        return value.length == length + 2 ? new String(value, 0, length, StandardCharsets.ISO_8859_1) : CUT;
    }

    /** Prints a table: each form at each place, by delay. Arguments: requests of each client, seed, probes (true or false). */
    public static void main(String[] args) throws Exception {
        Path folder = Files.createTempDirectory("unasked");
        Path jar = RouterProcess.jar(folder.resolve("router.jar"), null);
        int requests = Integer.parseInt(args[0]);
        for (Place place : Place.values()) {
            for (UnaskedForm form : UnaskedForm.values()) {
                for (int[] delay : new int[][] {{0, 9}, {5, 60}, {60, 3_000}}) {
                    Path own = Files.createTempDirectory(folder, "run");
                    UnaskedServer.Plan plan = new UnaskedServer.Plan(List.of(form), 0.05, delay[0], delay[1]);
                    Outcome outcome = new UnaskedLoad(jar, own, Boolean.parseBoolean(args[2]))
                            .play(place, plan, requests, Long.parseLong(args[1]));
                    System.out.printf(
                            Locale.ROOT, "%s %s %d to %d ms: %s%n", place, form, delay[0], delay[1], outcome.figures());
                }
            }
        }
    }
}
