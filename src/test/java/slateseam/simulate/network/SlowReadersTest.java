package slateseam.simulate.network;

import static org.assertj.core.api.Assertions.assertThat;
import static slateseam.simulate.network.RouterStage.command;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import slateseam.router.net.MessageMemory;

/** User agents that read long answers slowly: memory stays within its limits, and each request gets its answer. */
class SlowReadersTest {
    private static final long HEAP_BYTES = 8L << 20;
    /** What answers may take at most: five sixteenths of the heap. */
    private static final long MOST_ANSWER_BYTES = HEAP_BYTES / 16 * 5;

    private static final int WINDOW_BYTES = 4_096;
    private static final int LONG_BYTES = 400_000;
    private static final String LONG = "x".repeat(LONG_BYTES);
    private static final String SHORT = "y".repeat(50_000);
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            + Integer.toHexString(LONG_BYTES) + "\r\n" + LONG + "\r\n0\r\n\r\n";

    private final ScriptedServer.Script script = new ScriptedServer.Script();
    private final RouterStage stage;
    private final MessageMemory memory;
    private final List<Teller> readers = new ArrayList<>();
    private long mostAnswerBytes;

    SlowReadersTest() throws Exception {
        Conditions calm = Conditions.calm();
        stage = new RouterStage(
                calm.with(new Conditions.Streams(WINDOW_BYTES, WINDOW_BYTES, 0, 0, 0, 0, 0, 0)), 5, HEAP_BYTES);
        memory = stage.router.loop().memory();
        ScriptedServer.serve(stage, script);
    }

    /** Connects a user agent that sends commands and reads nothing. */
    private void connectReader(String commands) {
        Teller reader = stage.userAgentAfter(50);
        reader.wire.pause(true);
        reader.wire.write(Teller.bytes(commands));
        readers.add(reader);
        run(70);
    }

    private void run(int millis) {
        for (int i = 0; i < millis; i += 10) {
            stage.run(10);
            mostAnswerBytes = Math.max(mostAnswerBytes, memory.answerBytes());
        }
    }

    private static String read(String key, String id) {
        return command("CACHE.GET", key, id, "c=read,t=acme,d=1500");
    }

    /** Reads the answers of a user agent; each is given as the length of its value, or as its line if it is an error. */
    private static List<String> answers(Teller reader) {
        List<String> answers = new ArrayList<>();
        String got = reader.got.toString();
        for (int at = 0; at < got.length(); ) {
            int end = got.indexOf("\r\n", at);
            String line = got.substring(at, end);
            answers.add(line);
            at = end + 2;
            if (line.startsWith("$")) {
                at += Integer.parseInt(line.substring(1)) + 2;
                assertThat(at).as("a whole value").isLessThanOrEqualTo(got.length());
            }
        }
        return answers;
    }

    /** Lets all user agents read, and checks that memory is given back. */
    private void readAll() {
        readers.forEach(reader -> reader.wire.pause(false));
        run(20_000);
        assertThat(mostAnswerBytes).as("most bytes of answers").isLessThanOrEqualTo(MOST_ANSWER_BYTES);
        assertThat(memory.answerBytes()).as("bytes of answers at the end").isZero();
        assertThat(memory.inputBytes()).as("bytes of input at the end").isZero();
        assertThat(stage.log).noneMatch(line -> line.contains("internal-error"));
    }

    /** Failure: a reader whose system makes room more seldom than every 4 s was closed as if it had stopped. */
    @Test
    void aReaderThatIsSlowAndNeverStopsIsNotCutOff() {
        script.cache = "*1\r\n$" + LONG_BYTES + "\r\n" + LONG + "\r\n";
        connectReader(read("first", "i1") + read("second", "i2"));
        for (int i = 0; i < 4; i++) {
            run(20_000);
            readers.get(0).wire.pause(false);
            run(10);
            readers.get(0).wire.pause(true);
        }
        readAll();
        assertThat(answers(readers.get(0))).containsExactly("$" + LONG_BYTES, "$" + LONG_BYTES);
    }

    /** Failure: values in chunks, collected for slow readers, were counted nowhere; 14 of 4 MiB ended the process. */
    @Test
    void collectedAnswersOfSlowReadersAreBoundedAndEachRequestIsAnswered() {
        script.cache = "*1\r\n$-1\r\n";
        script.origin = CHUNKED;
        for (int i = 0; i < 15; i++) {
            connectReader(read("k" + i, "i" + i));
        }
        assertThat(mostAnswerBytes).as("most bytes of answers").isGreaterThan(2 * LONG_BYTES);
        readAll();
        assertThat(readers).allSatisfy(reader -> assertThat(answers(reader)).hasSize(1));
        assertThat(readers.get(0).got.toString()).isEqualTo("$" + LONG_BYTES + "\r\n" + LONG + "\r\n");
        assertThat(readers.get(14).got.toString()).startsWith("-");
        assertThat(stage.log).anyMatch(line -> line.contains("answer-dropped"));
    }

    /** Failure: answers behind an unread one were counted nowhere; 62 connections with 14 each ended the process. */
    @Test
    void answersThatWaitBehindAnUnreadOneAreBoundedAndEachRequestIsAnswered() {
        script.cache = "*1\r\n$50000\r\n" + SHORT + "\r\n";
        script.cacheOf.put("long", "*1\r\n$" + LONG_BYTES + "\r\n" + LONG + "\r\n");
        for (int i = 0; i < 20; i++) {
            StringBuilder commands = new StringBuilder(read("long", "i" + i));
            for (int j = 0; j < 14; j++) {
                commands.append(read("k" + i + "-" + j, "i" + i + "-" + j));
            }
            connectReader(commands.toString());
        }
        readAll();
        assertThat(readers).allSatisfy(reader -> assertThat(answers(reader)).hasSize(15));
    }

    /** Failure: of eight readers with a command behind a long value six got an error, as two values filled the room. */
    @Test
    void longValuesWithCommandsBehindThemComeWholeHoweverManyThereAre() {
        script.cache = "*1\r\n$" + LONG_BYTES + "\r\n" + LONG + "\r\n";
        script.cacheOf.put("short", "*1\r\n$5\r\nshort\r\n");
        for (int i = 0; i < 16; i++) {
            connectReader(read("long" + i, "i" + i) + read("short", "j" + i));
        }
        run(3_000);
        readAll();
        assertThat(readers).allSatisfy(reader -> assertThat(answers(reader)).containsExactly("$" + LONG_BYTES, "$5"));
    }

    /** Failure: 4.7 s after it was told to end, the router cut off a value that its user agent was reading, and what was behind it. */
    @Test
    void aPlannedEndWaitsForAReaderThatGoesOnReading() {
        script.cache = "*1\r\n$" + LONG_BYTES + "\r\n" + LONG + "\r\n";
        script.cacheOf.put("short", "*1\r\n$5\r\nshort\r\n");
        connectReader(read("first", "i1") + read("short", "i2"));
        connectReader(read("second", "i3"));
        stage.router.end();
        for (int i = 0; i < 10; i++) {
            run(1_000);
            readers.forEach(reader -> reader.wire.pause(false));
            run(20);
            readers.forEach(reader -> reader.wire.pause(true));
        }
        assertThat(stage.process.isDriven()).as("whether it still runs").isTrue();
        readAll();
        assertThat(answers(readers.get(0))).containsExactly("$" + LONG_BYTES, "$5");
        assertThat(answers(readers.get(1))).containsExactly("$" + LONG_BYTES);
        assertThat(stage.process.isDriven()).as("whether it still runs").isFalse();
    }

    /** Failure guarded against: a user agent that has stopped reading keeps a router that was told to end for ever. */
    @Test
    void aPlannedEndDoesNotWaitForAReaderThatHasStopped() {
        script.cache = "*1\r\n$" + LONG_BYTES + "\r\n" + LONG + "\r\n";
        connectReader(read("first", "i1"));
        stage.router.end();
        run(29_000);
        assertThat(stage.process.isDriven()).as("whether it still runs").isTrue();
        run(3_000);
        assertThat(stage.process.isDriven()).as("whether it still runs").isFalse();
    }
}
