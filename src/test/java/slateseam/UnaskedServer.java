package slateseam;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** A cache server or an origin on a loopback socket that sends bytes behind some of its answers though nobody asked for them. */
final class UnaskedServer implements AutoCloseable {
    private static final int LONG_VALUE = 100_000;

    /**
     * What is sent unasked.
     *
     * @param forms one of them is drawn each time
     * @param share of the answers that are followed by such bytes
     * @param leastMillis least delay behind the answer
     * @param mostMillis most delay; a fifth of them come in the same write as the answer where the least is 0
     */
    record Plan(List<UnaskedForm> forms, double share, int leastMillis, int mostMillis) {}

    private final boolean http;
    private final Plan plan;
    private final RequestLedger ledger;
    private final Random random;
    private final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final ScheduledExecutorService later = Executors.newScheduledThreadPool(2);
    private final List<Socket> sockets = Collections.synchronizedList(new ArrayList<>());
    final AtomicInteger connections = new AtomicInteger();
    final AtomicInteger probes = new AtomicInteger();
    final AtomicInteger unasked = new AtomicInteger();

    /** A server that sends nothing unasked if the plan is null. */
    UnaskedServer(boolean http, Plan plan, RequestLedger ledger, long seed) throws IOException {
        this.http = http;
        this.plan = plan;
        this.ledger = ledger;
        this.random = new Random(seed);
        threads.submit((Callable<Void>) this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    private Void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            sockets.add(socket);
            connections.incrementAndGet();
            Talk talk = new Talk(socket);
            threads.submit((Callable<Void>) talk::read);
            threads.submit((Callable<Void>) talk::serve);
        }
    }

    private synchronized double draw() {
        return random.nextDouble();
    }

    /** A request as it was read; the id is null for a probe. */
    private record Request(String id, String facts, boolean write) {}

    /** One connection: a thread reads requests, another carries them out in their order. */
    private final class Talk {
        private final Socket socket;
        private final BlockingQueue<Request> requests = new LinkedBlockingQueue<>();
        private final List<String> answers = new ArrayList<>();
        private volatile boolean closed;

        Talk(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
        }

        Void read() throws Exception {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (Request request; (request = http ? httpRequest(in) : respRequest(in)) != null; ) {
                    requests.add(request);
                }
            } catch (IOException e) {
                // A reset ends the connection as an end of the stream does.
            } finally {
                closed = true;
            }
            return null;
        }

        Void serve() throws Exception {
            while (!closed) {
                Request request = requests.poll(10, TimeUnit.MILLISECONDS);
                if (request != null) {
                    answer(request);
                }
            }
            return null;
        }

        private void answer(Request request) throws Exception {
            if (request.id() == null) {
                probes.incrementAndGet();
                write(UnaskedForm.probeReply(http));
                return;
            }
            AtomicBoolean over = new AtomicBoolean();
            ledger.arrived(request.id(), () -> closed || over.get());
            double course = draw();
            boolean refuses = course < 0.05;
            if (!refuses) {
                Thread.sleep(10 + (long) (30 * draw()));
                if (closed) {
                    return;
                }
            }
            boolean misses = !http && course > 0.6;
            if (!refuses && !misses) {
                ledger.ran(request.id(), request.facts());
            }
            over.set(true);
            write(refuses ? UnaskedForm.REFUSAL.bytes(http, List.of(""), 0) : misses ? miss() : value(request));
        }

        private String miss() {
            return "*3\r\n$-1\r\n$4\r\nmiss\r\n$8\r\nbehind=1\r\n";
        }

        private String value(Request request) {
            boolean isLong = !request.write() && draw() < 0.02;
            String value = request.id() + ":" + "v".repeat(isLong ? LONG_VALUE : 20);
            return http
                    ? "HTTP/1.1 200 OK\r\nX-Backend-Load: behind=1\r\nContent-Length: " + value.length() + "\r\n\r\n"
                            + value
                    : "*3\r\n$" + value.length() + "\r\n" + value + "\r\n$3\r\nhit\r\n$8\r\nbehind=1\r\n";
        }

        private void write(String answer) throws IOException {
            answers.add(answer);
            if (plan == null || draw() >= plan.share()) {
                write(answer, null);
                return;
            }
            unasked.incrementAndGet();
            String behind =
                    plan.forms().get((int) (draw() * plan.forms().size())).bytes(http, answers, draw());
            if (plan.leastMillis() == 0 && draw() < 0.2) {
                write(answer, behind);
                return;
            }
            write(answer, null);
            double delay = Math.max(1, plan.leastMillis())
                    * Math.pow(plan.mostMillis() / (double) Math.max(1, plan.leastMillis()), draw());
            later.schedule((Callable<Void>) () -> write(behind, null), (long) (delay * 1_000), TimeUnit.MICROSECONDS);
        }

        private synchronized Void write(String text, String more) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(UnaskedForm.latin(more == null ? text : text + more));
            return null;
        }
    }

    private static Request respRequest(InputStream in) throws IOException {
        String count = RouterProcess.line(in);
        if (count == null) {
            return null;
        }
        List<String> words = new ArrayList<>();
        for (int i = Integer.parseInt(count.substring(1)); i > 0; i--) {
            byte[] word = in.readNBytes(Integer.parseInt(RouterProcess.line(in).substring(1)));
            in.readNBytes(2);
            words.add(new String(word, StandardCharsets.ISO_8859_1));
        }
        return words.get(0).startsWith("CACHE.")
                ? new Request(words.get(2), words.get(3), words.get(0).endsWith("SET"))
                : new Request(null, null, false);
    }

    private static Request httpRequest(InputStream in) throws IOException {
        String first = RouterProcess.line(in);
        if (first == null) {
            return null;
        }
        String id = null;
        String facts = null;
        int length = 0;
        for (String line = RouterProcess.line(in); !line.isEmpty(); line = RouterProcess.line(in)) {
            String value = line.substring(line.indexOf(':') + 1).strip();
            id = line.startsWith("X-Correlation-Id:") ? value : id;
            facts = line.startsWith("X-Facts:") ? value : facts;
            length = line.startsWith("Content-Length:") ? Integer.parseInt(value) : length;
        }
        in.readNBytes(length);
        return first.contains(" /-/")
                ? new Request(null, null, false)
                : new Request(id, facts, first.startsWith("PUT"));
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : List.copyOf(sockets)) {
            socket.close();
        }
        threads.shutdownNow();
        later.shutdownNow();
    }
}
