package slateseam.router.figures;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.spi.SelectorProvider;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import slateseam.router.config.Features;
import slateseam.router.net.Console;
import slateseam.router.net.Log;
import slateseam.router.net.Loop;
import slateseam.router.net.Reader;
import slateseam.router.request.Ending;
import slateseam.router.request.Names;

/** Where figures go, and what bounds them. */
@Timeout(60)
class FiguresTest {
    private static final long MILLI = 1_000_000L;
    private static final int TENANTS = 1_100;
    /** As many combinations are kept where the heap is small. */
    private static final int KEPT = 1_024;

    private final Names names = new Names(
            List.of("read"),
            IntStream.range(0, TENANTS).mapToObj(i -> "tenant-" + i).toList());
    private final Reader reader = new Reader();
    private final Console console = new Console("n0", reader);
    private long now;
    private Loop loop;

    @AfterEach
    void end() {
        console.close();
    }

    private Figures figures(long cap, Path file, InetSocketAddress udp) throws Exception {
        loop = new Loop(SelectorProvider.provider(), () -> now, new Log("n0", () -> now, console), 1024 * 1024);
        return new Figures(
                new Features.Figures(false, 10_000 * MILLI, cap, file, udp),
                loop,
                names,
                console,
                new Counts().gauge("conns", () -> 3).gauge("servers_ready", () -> 12));
    }

    /** One request of each tenant: more than are kept at a time, so that a flush comes early. */
    private static void askForAll(Figures figures) {
        for (int i = 0; i < TENANTS; i++) {
            figures.ended(0, i, new byte[0], Ending.HIT, 12 * MILLI);
        }
    }

    private static List<String> ofTenants(String lines) {
        return lines.lines()
                .filter(line -> line.startsWith("slateseam.req:1|c|#c:read,t:tenant-"))
                .distinct()
                .toList();
    }

    @Test
    void aFileHasThemAll(@TempDir Path dir) throws Exception {
        Path file = dir.resolve("figures");
        Figures figures = figures(1024, file, null);
        askForAll(figures);
        awaitWriting(dir);
        assertThat(ofTenants(Files.readString(file))).hasSize(KEPT);
        figures.flush();
        awaitWriting(dir);
        console.close();
        assertThat(ofTenants(Files.readString(file))).hasSize(TENANTS);
        assertThat(Files.readString(file)).as("all had room").doesNotContain("figures_dropped");
        assertThat(reader.text()).isEmpty();
    }

    /** Lets the loop go on for as long as a flush of all takes that are kept, and a file that is written as it comes. */
    private void awaitWriting(Path dir) throws Exception {
        for (int i = 0; i < KEPT / 16; i++) {
            awaitWriter(dir);
            now += 10 * MILLI;
            loop.round(0);
        }
        awaitWriter(dir);
    }

    /** New names are about to come, or the end. */
    @Test
    void aWholeFlushLeavesNothingForLater(@TempDir Path dir) throws Exception {
        Path file = dir.resolve("figures");
        Figures figures = figures(1024, file, null);
        for (int i = 0; i < 200; i++) {
            figures.ended(0, i, new byte[0], Ending.HIT, 12 * MILLI);
        }
        figures.flushWhole();
        console.close();
        assertThat(ofTenants(Files.readString(file))).hasSize(200);
    }

    /** Returns once all that the console had to write is written, or has failed: this comes behind it and fails. */
    private void awaitWriter(Path dir) throws Exception {
        CountDownLatch failed = new CountDownLatch(1);
        console.append(dir, new byte[] {'\n'}, failed::countDown);
        failed.await();
    }

    @Test
    void whatAFileCannotTakeIsCountedAndToldOfLater(@TempDir Path dir) throws Exception {
        Path file = dir.resolve("late").resolve("figures");
        Figures figures = figures(1024, file, null);
        figures.flush();
        awaitWriter(dir);
        figures.flush(); // this batch tells of the first, and is lost with it
        awaitWriter(dir);
        Files.createDirectory(file.getParent());
        figures.flush();
        figures.flush();
        console.close();
        assertThat(Files.readString(file).lines())
                .containsExactly(
                        "slateseam.figures_dropped:2|c",
                        "slateseam.conns:3|g",
                        "slateseam.servers_ready:12|g",
                        "slateseam.conns:3|g",
                        "slateseam.servers_ready:12|g");
    }

    @Test
    void datagramsHoldWholeLinesAndFitIntoOnePacket() throws Exception {
        try (DatagramChannel collector = DatagramChannel.open().bind(new InetSocketAddress("127.0.0.1", 0))) {
            Figures figures = figures(1024, null, (InetSocketAddress) collector.getLocalAddress());
            for (int i = 0; i < 40; i++) {
                figures.ended(0, i, new byte[0], Ending.HIT, 12 * MILLI);
            }
            figures.close();
            List<String> lines = new ArrayList<>();
            while (lines.size() < 82) {
                ByteBuffer packet = ByteBuffer.allocate(65_536);
                collector.receive(packet);
                assertThat(packet.flip().remaining()).isBetween(1, 1_432);
                lines.addAll(
                        StandardCharsets.UTF_8.decode(packet).toString().lines().toList());
            }
            assertThat(lines).hasSize(82).allMatch(line -> line.startsWith("slateseam.") && line.matches(".*(g|hit)"));
            assertThat(ofTenants(String.join("\n", lines))).hasSize(40);
        }
    }

    @Test
    void standardErrorGetsNoMoreThanTheCapWithItsLastLine() throws Exception {
        Figures figures = figures(20 * 1024, null, null);
        for (int i = 0; i < 20; i++) {
            askForAll(figures);
            figures.flush();
        }
        String all = reader.await("figures capped\n");
        figures.flush();
        console.line("end");
        assertThat(reader.await("end\n")).isEqualTo(all + "end\n");
        assertThat(all.length()).isBetween(19 * 1024, 20 * 1024);
        assertThat(all.lines()).allMatch(line -> line.startsWith("slateseam.") || line.equals("figures capped"));
    }

    @Test
    void timesAreToldByTheMeanOfTheirClassForAllOfThatClass() {
        Cell cell = new Cell();
        for (long millis : new long[] {0, 33, 40, 63, 64, 100_000}) {
            cell.add(millis * MILLI);
        }
        List<String> lines = new ArrayList<>();
        Format.STATSD.timer("latency_ms", Format.STATSD.tags("a|b", "t,u:v#", "hit"), cell, lines::add);
        assertThat(lines)
                .containsExactly(
                        "slateseam.latency_ms:0.0|ms|#c:a_b,t:t_u_v_,out:hit",
                        "slateseam.latency_ms:45.3|ms|@0.3333333333333333|#c:a_b,t:t_u_v_,out:hit",
                        "slateseam.latency_ms:64.0|ms|#c:a_b,t:t_u_v_,out:hit",
                        "slateseam.latency_ms:100000.0|ms|#c:a_b,t:t_u_v_,out:hit");
        Cell many = new Cell();
        for (int i = 0; i < 3_000; i++) {
            many.add(0);
        }
        lines.clear();
        Format.STATSD.timer("latency_ms", "", many, lines::add);
        assertThat(lines).containsExactly("slateseam.latency_ms:0.0|ms|@0.0003333333333333333");
        assertThat(Format.INFLUX.tags("a b", "t,u=v\\", "hit")).isEqualTo(",c=a\\ b,t=t\\,u\\=v_,out=hit");
    }
}
