import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;

/**
 * User agents in closed loop: each sends its next reads when the last are answered. Run it with
 * {@code java benchmarks/ClosedLoop.java 127.0.0.1:6379}; README.md beside this file explains options and figures.
 */
public final class ClosedLoop {
    private static final int MOST_SECONDS = 60;
    private static final int MOST_AGENTS = 512;
    private static final int MOST_PIPELINED = 4096;
    private static final int MOST_KEYS = 1000;
    /** Of the whole run; each answer's time is kept until the end. */
    private static final int MOST_ANSWERS = 6_000_000;

    private static final int ANSWER_MILLIS = 5_000;
    private static final int PAUSE_MILLIS = 10;
    private static final double TICKS_A_SECOND = 100;

    private enum Kind {
        HIT,
        MISS,
        UNAVAILABLE,
        ERROR
    }

    private record Answer(Kind kind, String text) {}

    private static InetSocketAddress address;
    private static int agents = 4;
    private static int seconds = 5;
    private static int pipelined = 1;
    private static int keys = 32;
    /** A server is asked itself, and answers as servers do. */
    private static boolean direct;
    /** Whose CPU time is told; 0 for none. */
    private static long process;

    public static void main(String[] args) throws Exception {
        Map<String, String> values = null;
        try {
            parse(args);
            values = learn();
        } catch (IllegalArgumentException | IOException e) {
            System.err.println("closed loop: " + e.getMessage());
            System.exit(2);
        }
        List<Agent> all = new ArrayList<>();
        double cpuBefore = cpuSeconds();
        long begin = System.nanoTime();
        for (int i = 0; i < agents; i++) {
            all.add(new Agent(i, values, begin + seconds * 1_000_000_000L));
        }
        all.forEach(Thread::start);
        for (Agent agent : all) {
            agent.join();
        }
        report(all, (System.nanoTime() - begin) / 1e9, cpuSeconds() - cpuBefore);
    }

    private static void parse(String[] args) throws IOException {
        if (args.length == 0) {
            throw new IllegalArgumentException("ADDRESS:PORT [--agents N] [--seconds N] [--pipeline N] [--keys N]"
                    + " [--direct] [--process PID]");
        }
        int colon = args[0].lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("the address has no port");
        }
        InetAddress host = InetAddress.getByName(args[0].substring(0, colon));
        if (!host.isLoopbackAddress()) {
            throw new IllegalArgumentException("only loopback addresses are measured");
        }
        address = new InetSocketAddress(host, number(args[0].substring(colon + 1), 65_535));
        for (int i = 1; i < args.length; i++) {
            String value = i + 1 < args.length ? args[i + 1] : "";
            switch (args[i]) {
                case "--agents" -> agents = number(value, MOST_AGENTS);
                case "--seconds" -> seconds = number(value, MOST_SECONDS);
                case "--pipeline" -> pipelined = number(value, MOST_PIPELINED);
                case "--keys" -> keys = number(value, MOST_KEYS);
                case "--process" -> process = number(value, Integer.MAX_VALUE);
                case "--direct" -> direct = true;
                default -> throw new IllegalArgumentException("unknown: " + args[i]);
            }
            i += args[i].equals("--direct") ? 0 : 1;
        }
    }

    private static int number(String text, int most) {
        if (!text.matches("[0-9]{1,10}") || Long.parseLong(text) < 1 || Long.parseLong(text) > most) {
            throw new IllegalArgumentException("not a number from 1 to " + most + ": " + text);
        }
        return Integer.parseInt(text);
    }

    /** Asks for each key until it is answered with a value, then once more, and keeps the values to compare with. */
    private static Map<String, String> learn() throws IOException {
        Map<String, String> values = new HashMap<>();
        long until = System.nanoTime() + MOST_SECONDS * 1_000_000_000L;
        int asked = 0;
        try (Connection connection = new Connection()) {
            for (int round = 0; round < 2; round++) {
                for (int k = 0; k < keys; k++) {
                    Answer answer;
                    do {
                        connection.ask("bench" + k, "warm" + System.nanoTime() + "-" + asked++);
                        connection.flush();
                        answer = connection.answer();
                        if (direct && answer.kind() == Kind.MISS || System.nanoTime() > until) {
                            throw new IOException("not warm; reads through the router fill servers: " + answer);
                        }
                    } while (answer.kind() != Kind.HIT);
                    values.put("bench" + k, answer.text());
                }
            }
        }
        if (new HashSet<>(values.values()).size() < keys) {
            throw new IOException("two keys have one value: wrong answers could not be told");
        }
        return values;
    }

    /** The time that the process has had of all cores. */
    private static double cpuSeconds() throws IOException {
        if (process == 0) {
            return 0;
        }
        String stat = Files.readString(Path.of("/proc/" + process + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / TICKS_A_SECOND;
    }

    private static void report(List<Agent> all, double elapsed, double cpu) {
        int[] kinds = new int[Kind.values().length];
        int wrong = 0;
        int failures = 0;
        int answers = 0;
        for (Agent agent : all) {
            for (int k = 0; k < kinds.length; k++) {
                kinds[k] += agent.kinds[k];
            }
            wrong += agent.wrong;
            failures += agent.failures;
            answers += agent.answers;
        }
        long[] nanos = new long[answers];
        int filled = 0;
        for (Agent agent : all) {
            System.arraycopy(agent.nanos, 0, nanos, filled, agent.answers);
            filled += agent.answers;
        }
        Arrays.sort(nanos);
        System.out.printf(
                "%s agents=%d pipeline=%d: %.0f requests/s, %.0f hits/s; ",
                direct ? "direct" : "router", agents, pipelined, answers / elapsed, kinds[0] / elapsed);
        System.out.printf(
                "hits=%d misses=%d unavailable=%d errors=%d failures=%d wrong=%d; ",
                kinds[0], kinds[1], kinds[2], kinds[3], failures, wrong);
        System.out.printf(
                "us p50=%.0f p90=%.0f p99=%.0f max=%.0f",
                part(nanos, 0.5), part(nanos, 0.9), part(nanos, 0.99), part(nanos, 1));
        System.out.println(
                process == 0
                        ? ""
                        : String.format(
                                "; cpu %.1f us a hit, %.0f%% of a core",
                                cpu * 1e6 / Math.max(1, kinds[0]), 100 * cpu / elapsed));
    }

    /** The time in microseconds within which this part of the answers came. */
    private static double part(long[] sorted, double part) {
        return sorted.length == 0 ? 0 : sorted[(int) Math.ceil(part * sorted.length) - 1] / 1e3;
    }

    /** One user agent. */
    private static final class Agent extends Thread {
        final int[] kinds = new int[Kind.values().length];
        final int number;
        final Map<String, String> values;
        final long until;
        long[] nanos = new long[1024];
        int answers;
        int wrong;
        int failures;
        int asked;

        Agent(int number, Map<String, String> values, long until) {
            this.number = number;
            this.values = values;
            this.until = until;
        }

        @Override
        public void run() {
            while (!isOver()) {
                try (Connection connection = new Connection()) {
                    while (!isOver()) {
                        ask(connection);
                    }
                } catch (IOException e) {
                    failures++;
                    pause();
                }
            }
        }

        private boolean isOver() {
            return System.nanoTime() >= until || answers >= MOST_ANSWERS / agents;
        }

        private void ask(Connection connection) throws IOException {
            String[] sent = new String[pipelined];
            for (int i = 0; i < pipelined; i++) {
                sent[i] = "bench" + (number * 7 + asked) % keys;
                connection.ask(sent[i], "a" + number + "-" + until + "-" + asked++);
            }
            long begin = System.nanoTime();
            connection.flush();
            for (String key : sent) {
                Answer answer = connection.answer();
                kinds[answer.kind().ordinal()]++;
                if (answer.kind() == Kind.HIT && !answer.text().equals(values.get(key))) {
                    wrong++;
                }
                if (answers == nanos.length) {
                    nanos = Arrays.copyOf(nanos, 2 * answers);
                }
                nanos[answers++] = System.nanoTime() - begin;
            }
        }

        private static void pause() {
            try {
                Thread.sleep(PAUSE_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** A connection to what is measured. */
    private static final class Connection implements AutoCloseable {
        private final Socket socket = new Socket();
        private final ByteArrayOutputStream out = new ByteArrayOutputStream();
        private final DataInputStream in;

        Connection() throws IOException {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(ANSWER_MILLIS);
            socket.connect(address, ANSWER_MILLIS);
            in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
        }

        void ask(String key, String id) {
            String facts = "c=read,t=acme,d=1500";
            out.writeBytes(("*4\r\n$9\r\nCACHE.GET\r\n$" + key.length() + "\r\n" + key + "\r\n$" + id.length() + "\r\n"
                            + id + "\r\n$" + facts.length() + "\r\n" + facts + "\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
        }

        void flush() throws IOException {
            out.writeTo(socket.getOutputStream());
            out.reset();
        }

        /** The next answer: a value, or from a server an array of the value and how it went. */
        Answer answer() throws IOException {
            String first = line();
            if (first.startsWith("-BUSY")) {
                return new Answer(Kind.UNAVAILABLE, first);
            }
            if (first.startsWith("*")) {
                String value = bulk(line());
                for (int i = Integer.parseInt(first.substring(1)); i > 1; i--) {
                    bulk(line());
                }
                return new Answer(value == null ? Kind.MISS : Kind.HIT, value);
            }
            return first.startsWith("$") ? new Answer(Kind.HIT, bulk(first)) : new Answer(Kind.ERROR, first);
        }

        private String bulk(String head) throws IOException {
            int length = Integer.parseInt(head.substring(1));
            if (length < 0) {
                return null;
            }
            byte[] bytes = new byte[length + 2];
            in.readFully(bytes);
            return new String(bytes, 0, length, StandardCharsets.ISO_8859_1);
        }

        private String line() throws IOException {
            StringBuilder line = new StringBuilder();
            for (int c; (c = in.read()) != '\n'; ) {
                if (c < 0) {
                    throw new EOFException();
                }
                line.append((char) c);
            }
            return line.toString().stripTrailing();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
