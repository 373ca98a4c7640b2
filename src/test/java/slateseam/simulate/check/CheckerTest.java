package slateseam.simulate.check;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.json.JSONObject;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import slateseam.simulate.check.Figures.ClassFigures;
import slateseam.simulate.check.Figures.Repeats;

/** Plays stories of bytes, each byte by itself, and compares the rules that they break. */
class CheckerTest {
    private static final long MILLI = 1_000_000L;
    private static final String SERVERS = "{'host':'s1','dial':'10.1.0.1:6379','class':'box','health':'%s',"
            + "'born_ms':%d},"
            + "{'host':'s2','dial':'10.1.0.2:6379','class':'box','health':'ready','born_ms':0},"
            + "{'host':'o','dial':'10.1.0.9:80','class':'origin','health':'ready','born_ms':0}";

    private long now = 1_700_000_000_000L * MILLI;
    private final Map<String, Long> wires = new HashMap<>();
    private final Map<String, String> types = new HashMap<>();
    private final Checker checker = new Checker(
            new Figures(
                    List.of(
                            new ClassFigures("read", Repeats.HARMLESS, 1500 * MILLI, 0, 1),
                            new ClassFigures("put", Repeats.KEYED, 4000 * MILLI, 2000 * MILLI, 2),
                            new ClassFigures("once", Repeats.FORBIDDEN, 4000 * MILLI, 0, 2)),
                    3,
                    20 * MILLI,
                    500 * MILLI,
                    new Figures.Cold(2, 1000 * MILLI, 0.5, 8000 * MILLI),
                    100,
                    5_000),
            "origin",
            List.of("10.0.0.1:7946"),
            () -> now);

    CheckerTest() {
        checker.routerStarts(
                new RouterAddresses("n0", "10.0.0.1", "10.0.0.1:6379", "10.0.0.1:7946", List.of("10.2.0.1:8500")),
                list("ready", 0));
    }

    /** A user agent's wire is u, those to s1, s2 and the origin s, t and o, and that to discovery d. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            u ask r1 read 400, s send r1, s miss, o fetch r1, o value r1, u value r1                      |
            u ask r1 read 400, +469, u fail                                                              |
            u ask r1 read 400, +471, u fail                                                              | LATE
            u ask r1 read 400, +1600                                                                     | LATE
            u ask r1 read 400, unseen +471, u fail                                                       | LATE
            u ask r1 read 400, u ask r2 read 400, +400, u fail, +400, u fail                             |
            u ask r1 read 400, u router closes                                                           | LOST
            u write r1 read 400, u router closes                                                         |
            u write r1 read 400, +500                                                                    | LATE
            u ask r1 read 400, u leaves, +1600                                                           |
            u ask r1 read 400, killed, u router closes, +1600                                            |
            u ask r1 read 400, s send r1, s hit r2, u value r2                                           | FOREIGN
            u ask r1 read 400, u ask r2 read 400, s send r1, s hit r1, u fail, u value r1                | FOREIGN
            u ask r1 read 400, u fail, u fail                                                            | GARBLED
            u garbage, u protocol error, u router closes                                                 |
            u ask r1 read 400, u protocol error                                                          | MISREAD
            log server-malformed: /10.1.0.1:6379: no array                                               | MISREAD
            u ask r1 read 400, s send r1, s garbage, log server-malformed: /10.1.0.1:6379: no array, u fail |
            u ask r1 read 400, u fail, s send r1                                                         | AFTER_ANSWER
            u ask r1 read 900, u leaves, +90, s send r1                                                  |
            u ask r1 read 900, u leaves, +110, s send r1                                                 | AFTER_ANSWER
            u ask r1 read 400, o store r1, u fail                                                        | CHANGED
            u ask r1 read 900, +200, s send r1 850, s hit r1, u value r1                                 |
            u ask r1 read 900, +200, s send r1 851, s hit r1, u value r1                                 | TIME_TOLD
            u ask r1 read 900, s send r1 900, +200, s miss, o fetch r1 850, o value r1, u value r1       |
            u ask r1 read 900, s send r1 900, +200, s miss, o fetch r1 900, o value r1, u value r1       | TIME_TOLD
            u ask r1 read 900, +200, o fetch r1 900, o value r1, u value r1                              | TIME_TOLD
            u ask r1 put 4000, o store r1 4000, o error 500, +200, o store r1 4000, u fail               | TIME_TOLD
            u ask r1 put 4000, o store r1 4000, o error 500, +200, o store r1 3950, u fail               |
            u ask r1 read 4000, s send r1 1651, u fail                                                   | TIME_TOLD
            u ask r1 read 900, s send r1 none, u fail                                                    | TIME_TOLD
            u ask r1 read 400, u ask r2 read 400, +300, s send r2 400, u fail, +100, u fail              |
            u ask r1 read 400, u ask r2 read 400, +300, u fail, +200, s send r2 400, u fail              | TIME_TOLD
            s send r1                                                                                    | AFTER_ANSWER
            u ask r1 read 400, s send r1, t send r1, u fail                                              | TWO_AT_ONCE
            u ask r1 read 400, s send r1, s router closes, t send r1, u fail                             |
            u ask r1 read 400, s part r1, t send r1, t hit r1, u value r1                                |
            u ask r1 once 900, o store r1, o error 500, o store r1, u fail                               | RESEND
            u ask r1 once 900, o store r1, o unprocessed 503, o store r1, u fail                         |
            u ask r1 once 900, o store r1, o unprocessed 503, u busy                                     |
            u ask r1 once 900, o store r1, o error 503, u busy                                           | REFUSAL
            u ask r1 once 900, o store r1, o router closes, u busy                                       | REFUSAL
            u ask r1 put 4000, o store r1, o error 500, +1900, o store r1, u busy                        |
            u ask r1 put 4000, o store r1, o error 500, +2100, o store r1, u busy                        | RESEND
            u ask r1 once 900, o store r1, ran r1, ran r1, u fail                                        | DOUBLED
            u ask r1 put 900, o store r1, ran r1, ran r1, u fail                                         |
            u ask r1 read 400, s send r1, s busy, s send r1, s busy, t send r1, t busy, t send r1, u busy | ATTEMPTS
            d draining 0, +540, u ask r1 read 400, s send r1, s hit r1, u value r1                       |
            d draining 0, +560, u ask r1 read 400, s send r1, s hit r1, u value r1                       | DRAIN
            agent draining, +6000, agent draining, +560, u ask r1 read 400, s send r1, u fail            | DRAIN
            agent draining, +6000, agent draining, +540, u ask r1 read 400, s send r1, u fail            |
            d draining 0, d ready 0, +560, u ask r1 read 400, s send r1, s hit r1, u value r1            |
            start s1, d ready 1, u ask r1 read 400, s send r1, u fail, fell s1                           | FALLEN
            start s1, u ask r1 read 400, s send r1, u fail, fell s1                                      |
            datagram 256 10.0.0.1:7946                                                                   |
            datagram 257 10.0.0.1:7946                                                                   | DATAGRAM
            datagram 9 10.1.0.1:7946                                                                     | DATAGRAM
            descriptors 100                                                                              |
            descriptors 101                                                                              | DESCRIPTORS
            u ask r1 read 400, s send r1, s flood 4800, u fail                                           |
            u ask r1 read 400, s send r1, s flood 5200, u fail                                           | BYTES
            log overdue: a request                                                                       | LOGGED
            u ask r1 read 400, s send r1, s syntax, u fail                                               | SYNTAX
            """)
    void namesTheRulesThatAStoryBreaks(String story, String rules) {
        for (String step : story.split(", ")) {
            play(step.split(" "));
            if (!step.startsWith("unseen")) {
                checker.step();
            }
        }
        assertThat(checker.breaches())
                .extracting(breach -> breach.rule().name())
                .isEqualTo(rules == null ? List.of() : List.of(rules.split(" ")));
    }

    /** What is counted over a whole day, or over all routers, takes many of the same; {@code r%d} is another id each time. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            start s1, d ready 1 | u ask r%d read 900, s send r%d, s hit r%d, u value r%d | 18 | calm    |
            start s1, d ready 1 | u ask r%d read 900, s send r%d, s hit r%d, u value r%d | 19 | calm    | RAMP
            start s1, d ready 1 | u ask r%d read 900, s send r%d, s hit r%d, u value r%d, +60 | 40 | calm |
            start s1            | u ask r%d read 900, s send r%d, s hit r%d, u value r%d | 40 | calm    |
            +0                  | u ask r%d read 400, +410, u fail                       |  5 | calm    |
            +0                  | u ask r%d read 400, +410, u fail                       |  6 | calm    | UNANSWERED
            +0                  | u ask r%d read 400, +390, u fail                       |  9 | calm    |
            +0                  | u ask r%d read 400, +300, u busy                       | 14 | calm    |
            +0                  | u ask r%d read 400, +300, u busy                       | 15 | calm    | IDLE
            +0                  | u ask r%d read 400, +300, u fail                       | 15 | calm    | IDLE
            +0                  | u ask r%d read 400, +300, u busy                       | 15 | trouble |
            +0                  | u ask r%d read 400, +270, u busy                       | 15 | calm    |
            +0                  | u ask r%d read 400, s send r%d, s busy, +300, u busy   | 30 | calm    |
            """)
    void countsOverMany(String first, String each, int times, String day, String rule) {
        for (String step : first.split(", ")) {
            play(step.split(" "));
        }
        for (int i = 1; i <= times; i++) {
            for (String step : each.replace("r%d", "r" + (char) ('A' + i)).split(", ")) {
                play(step.split(" "));
                checker.step();
            }
        }
        checker.over(day.equals("calm"));
        assertThat(checker.breaches())
                .extracting(breach -> breach.rule().name())
                .isEqualTo(rule == null ? List.of() : List.of(rule));
    }

    private void play(String... words) {
        String what = words.length > 1 ? words[1] : "";
        switch (words[0]) {
            case "u" -> user(words);
            case "s", "t", "o" -> server(words);
            case "d" -> {
                byte[] body =
                        bytes(list(what, words[2].equals("0") ? 0 : now / MILLI).toString());
                write(
                        wire("d", "10.0.0.1", "10.2.0.1:8500"),
                        "10.2.0.1",
                        "10.0.0.1",
                        "HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n" + text(body));
            }
            case "agent" -> checker.agentHas("n0", list(what, 0));
            case "killed" -> checker.routerKilled("n0");
            case "ran" -> checker.ran("o", what, "k", true, null);
            case "start" -> checker.serverStarts(what, "10.1.0.1:6379", 10);
            case "fell" -> checker.fell(what);
            case "datagram" -> checker.datagram("10.0.0.1", words[2], new byte[Integer.parseInt(what)], false);
            case "descriptors" -> checker.descriptors("n0", Integer.parseInt(what));
            case "unseen" -> play(what);
            case "log" -> checker.log("n0", "n0: " + String.join(" ", words).substring(4));
            default -> now += Long.parseLong(words[0].substring(1)) * MILLI;
        }
    }

    private void user(String... words) {
        long wire = wire("u", "10.9.0.1", "10.0.0.1:6379");
        switch (words[1]) {
            case "ask" -> {
                types.put(words[2], words[3]);
                write(wire, "10.9.0.1", "10.0.0.1", command(words[2], words[3], words[4]));
            }
            case "write" -> write(wire, "10.9.0.1", null, command(words[2], words[3], words[4]));
            case "garbage" -> write(wire, "10.9.0.1", "10.0.0.1", "*1\r\n$x\r\n");
            case "leaves" -> checker.endedBy(wire, "10.9.0.1");
            case "router" -> checker.endedBy(wire, "10.0.0.1");
            default ->
                write(
                        wire,
                        "10.0.0.1",
                        "10.9.0.1",
                        switch (words[1]) {
                            case "value" -> "$8\r\nvalue-" + words[2] + "\r\n";
                            case "busy" -> "-BUSY 20\r\n";
                            case "protocol" -> "-ERR protocol error: why\r\n";
                            default -> "-ERR failed\r\n";
                        });
        }
    }

    private void server(String... words) {
        String machine = "10.1.0." + (words[0].equals("s") ? 1 : words[0].equals("t") ? 2 : 9);
        long wire = wire(words[0], "10.0.0.1", machine + (words[0].equals("o") ? ":80" : ":6379"));
        String head = "Host: o\r\nX-Correlation-Id: " + (words.length > 2 ? words[2] : "") + "\r\nX-Facts: c="
                + (words[1].equals("fetch") ? "read" : types.getOrDefault(words.length > 2 ? words[2] : "", ""))
                + ",t=acme,d=" + (words.length > 3 ? words[3] : "1") + "\r\n";
        switch (words[1]) {
            case "send" ->
                write(wire, "10.0.0.1", machine, command(words[2], "read", words.length > 3 ? words[3] : "100"));
            case "part" ->
                write(
                        wire,
                        "10.0.0.1",
                        machine,
                        command(words[2], "read", "100").substring(0, 30));
            case "fetch" -> write(wire, "10.0.0.1", machine, "GET /k HTTP/1.1\r\n" + head + "\r\n");
            case "store" ->
                write(wire, "10.0.0.1", machine, "PUT /k HTTP/1.1\r\n" + head + "Content-Length: 2\r\n\r\nxx");
            case "router" -> {
                checker.endedBy(wire, "10.0.0.1");
                wires.remove(words[0]);
            }
            default -> {
                if (words[1].equals("hit") || words[1].equals("value")) {
                    checker.made(words[0], words[2], bytes("value-" + words[2]));
                }
                write(
                        wire,
                        machine,
                        "10.0.0.1",
                        switch (words[1]) {
                            case "hit" -> "*3\r\n$8\r\nvalue-" + words[2] + "\r\n$3\r\nhit\r\n$-1\r\n";
                            case "value" -> "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nvalue-" + words[2];
                            case "miss" -> "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n";
                            case "busy" -> "-BUSY\r\n";
                            case "garbage" -> "+what\r\n";
                            case "syntax" -> "-SYNTAX no\r\n";
                            case "flood" -> "*1\r\n$9999\r\n" + "x".repeat(Integer.parseInt(words[2]));
                            case "unprocessed" -> "HTTP/1.1 " + words[2] + " No\r\nX-Unprocessed: 1\r\n\r\n";
                            default -> "HTTP/1.1 " + words[2] + " No\r\nContent-Length: 0\r\n\r\n";
                        });
            }
        }
    }

    private static String command(String id, String type, String wait) {
        String facts = "c=" + type + ",t=acme,d=" + wait;
        boolean read = type.equals("read");
        return (read ? "*4\r\n$9\r\nCACHE.GET" : "*5\r\n$9\r\nCACHE.SET") + "\r\n$1\r\nk\r\n$" + id.length() + "\r\n"
                + id
                + "\r\n$" + facts.length() + "\r\n" + facts + "\r\n" + (read ? "" : "$2\r\nxx\r\n");
    }

    private long wire(String name, String from, String to) {
        return wires.computeIfAbsent(name, n -> {
            long number = now + wires.size();
            checker.connecting(number, from, to);
            checker.up(number);
            return number;
        });
    }

    private void write(long wire, String from, String to, String text) {
        for (byte b : bytes(text)) {
            checker.sent(wire, from, new byte[] {b});
            if (to != null) {
                checker.delivered(wire, to, new byte[] {b});
            }
        }
    }

    private static JSONObject list(String health, long born) {
        return new JSONObject("{'seq':1,'whole':true,'hosts':[" + String.format(SERVERS, health, born) + "]}");
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }
}
