package slateseam.router.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** What waits for a reader or a disk is the writer's thread alone. */
@Timeout(60)
class ConsoleTest {
    private static final String LONG = "x".repeat(1_000);

    private final Reader reader = new Reader();
    private final Console console = new Console("n0", reader);

    @AfterEach
    void end() {
        reader.stop(false);
        console.close();
    }

    @Test
    void aReaderThatHasStoppedHoldsNobodyUpAndWhatDoesNotFitIsCounted() throws Exception {
        reader.stop(true);
        console.line("first");
        reader.awaitHeld();
        int bulk = 0;
        while (console.bulk((LONG + "\n").getBytes(StandardCharsets.UTF_8))) {
            bulk++;
        }
        // Bulk leaves room for the log.
        for (int i = 0; i < 100; i++) {
            console.line("line " + i + LONG);
        }
        assertThat(reader.text()).isEmpty();
        reader.stop(false);
        String all = reader.await("lines did not fit while");
        long lines = all.lines().filter(line -> line.startsWith("line ")).count();
        assertThat(bulk).isBetween(1, 48);
        assertThat(lines).isBetween(1L, 99L);
        assertThat(all.lines())
                .hasSize(1 + bulk + (int) lines + 1)
                .startsWith("first")
                .contains(
                        "n0: lines-dropped: " + (100 - lines) + " lines did not fit while standard error was not read")
                .allMatch(line -> line.equals("first") || line.endsWith(LONG) || line.startsWith("n0: "));
    }

    @Test
    void anEndWritesWhatIsLeftAndDoesNotHangOnAReaderThatHasStopped() throws Exception {
        console.line("one");
        console.close();
        assertThat(reader.text()).isEqualTo("one\n");
        Console stuck = new Console("n1", reader);
        reader.stop(true);
        stuck.line("two");
        reader.awaitHeld();
        stuck.close();
        stuck.line("three");
        assertThat(reader.text()).isEqualTo("one\n");
    }

    @Test
    void filesGrowByWholeBatchesAndOneThatCannotBeWrittenIsTold(@TempDir Path dir) throws Exception {
        Path file = dir.resolve("figures");
        CountDownLatch failed = new CountDownLatch(1);
        console.append(file, "a\n".getBytes(StandardCharsets.UTF_8), failed::countDown);
        console.append(dir, "b\n".getBytes(StandardCharsets.UTF_8), failed::countDown);
        failed.await();
        Files.move(file, dir.resolve("figures.1"));
        console.append(file, "c\n".getBytes(StandardCharsets.UTF_8), failed::countDown);
        console.close();
        assertThat(dir.resolve("figures.1")).hasContent("a");
        assertThat(file).hasContent("c");
    }
}
