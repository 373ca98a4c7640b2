package slateseam.router.snapshot;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import slateseam.router.membership.Endpoint;
import slateseam.router.membership.Remembered;
import slateseam.router.membership.Remembered.Deleted;
import slateseam.router.membership.Remembered.Known;
import slateseam.router.membership.Server;
import slateseam.router.membership.Slice;

class SnapshotsTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long NOW = 1_700_000_000L * SECOND;
    private static final Content OLD = discovery("old");
    private static final Content NEW = discovery("new");

    @TempDir
    private Path folder;

    private final List<String> lines = new ArrayList<>();

    private static Content discovery(String host) {
        return new Content.Discovery(new JSONObject(Map.of("seq", 7, "hosts", List.of(Map.of("host", host)))));
    }

    private SnapshotSettings settings(String router, String source, int most) {
        return new SnapshotSettings(folder, router, source, 5 * SECOND, 3_600 * SECOND, most);
    }

    private SnapshotSettings settings() {
        return settings("r1", "slices", 10_000);
    }

    private Path file() {
        return folder.resolve("r1.farm");
    }

    private Snapshots snapshots(SnapshotSettings settings, Disk disk) {
        return new Snapshots(settings, lines::add, disk);
    }

    private Snapshots written(Content content) throws InterruptedException {
        Snapshots first = snapshots(settings(), new Disk());
        first.offer(content, NOW);
        first.close(10_000);
        return first;
    }

    private static String host(Found found) {
        return ((Content.Discovery) found.content())
                .list()
                .getJSONArray("hosts")
                .getJSONObject(0)
                .getString("host");
    }

    @Test
    void whatIsWrittenIsReadAgain() throws Exception {
        Server held = new Server("u2", "10.0.0.2", 80, true, "z", "k", 0.5, 9, true, "p", "n");
        Remembered all = new Remembered(
                "12",
                11,
                List.of(new Slice(
                        "a",
                        "u",
                        12,
                        true,
                        80,
                        List.of(
                                new Endpoint(
                                        List.of("fd00::1"), true, null, false, "z\u00e9", "n", List.of("x"), "u1", "p"),
                                new Endpoint(List.of("fd00::2"), null, null, null, null, null, List.of(), null, null)),
                        Map.of("k", "v"),
                        Map.of("a", "\"\n"))),
                List.of(new Deleted("b", "ub", 3)),
                List.of(
                        new Known("u2", true, 5, true, 4, held, true),
                        new Known("u3", false, NOW, false, -1, null, false)));
        Found found = written(new Content.Slices(all)).read(NOW + SECOND);
        assertThat(found.content()).isEqualTo(new Content.Slices(all));
        assertThat(found.writtenAtNanos()).isEqualTo(NOW);
        assertThat(host(written(NEW).read(NOW))).isEqualTo("new");
        assertThat(lines).isEmpty();
    }

    @Test
    void whatIsCutOrFlippedAnywhereIsNeverUsed() throws Exception {
        Snapshots snapshots = written(OLD);
        byte[] whole = Files.readAllBytes(file());
        for (int length = 0; length < whole.length; length++) {
            assertThat(Frame.read(Arrays.copyOf(whole, length), settings(), NOW).finding())
                    .as("cut at " + length)
                    .isEqualTo(Finding.TORN);
        }
        for (int at = 0; at < whole.length; at++) {
            byte[] flipped = whole.clone();
            flipped[at] ^= 1 << at % 8;
            assertThat(Frame.read(flipped, settings(), NOW).finding())
                    .as("flipped at " + at)
                    .isNotEqualTo(Finding.GOOD);
        }
        Files.write(file(), Arrays.copyOf(whole, whole.length + 1));
        assertThat(snapshots.read(NOW))
                .extracting(Found::finding, Found::content)
                .containsExactly(Finding.DAMAGED, null);
    }

    @Test
    void whatMustNotBeUsedIsToldApart() throws Exception {
        Snapshots snapshots = written(OLD);
        byte[] whole = Files.readAllBytes(file());
        assertThat(snapshots.read(NOW + 3_600 * SECOND).finding()).isEqualTo(Finding.GOOD);
        assertThat(snapshots.read(NOW + 3_600 * SECOND + 1).finding()).isEqualTo(Finding.TOO_OLD);
        assertThat(snapshots.read(NOW - 60 * SECOND).finding()).isEqualTo(Finding.GOOD);
        assertThat(snapshots.read(NOW - 60 * SECOND - 1).finding()).isEqualTo(Finding.AHEAD);
        assertThat(new Store(settings("r1", "discovery", 10_000), new Disk()).read(NOW))
                .satisfies(found -> {
                    assertThat(found.finding()).isEqualTo(Finding.OTHER_SOURCE);
                    assertThat(found.text()).endsWith("r1.farm: it tells of another source of the farm (slices)");
                });
        assertThat(new Store(settings("r1", "slices", whole.length), new Disk())
                        .read(NOW)
                        .finding())
                .isEqualTo(Finding.GOOD);
        assertThat(new Store(settings("r1", "slices", whole.length - 1), new Disk())
                        .read(NOW)
                        .finding())
                .isEqualTo(Finding.TOO_LARGE);
        assertThat(new Store(settings("r2", "slices", 10_000), new Disk())
                        .read(NOW)
                        .finding())
                .isEqualTo(Finding.NONE);
        Files.write(folder.resolve("r2.farm"), whole);
        assertThat(new Store(settings("r2", "slices", 10_000), new Disk())
                        .read(NOW)
                        .finding())
                .isEqualTo(Finding.OTHER_ROUTER);
        byte[] later = whole.clone();
        later[9] = 2;
        Files.write(file(), later);
        assertThat(snapshots.read(NOW).finding()).isEqualTo(Finding.OTHER_FORMAT);
        Files.writeString(file(), "{\"hosts\": []}");
        assertThat(snapshots.read(NOW).finding()).isEqualTo(Finding.FOREIGN);
        for (byte kind : new byte[] {1, 2, 3}) {
            Files.write(
                    file(),
                    Frame.write(settings(), kind, (kind == 1 ? "[" : "{\"floor\":{}}").getBytes(), NOW)
                            .array());
            assertThat(snapshots.read(NOW).finding()).as("kind " + kind).isEqualTo(Finding.MALFORMED);
        }
    }

    @Test
    void routersNamesBecomeFilesNamesInTheFolder() {
        assertThat(Store.fileName("lb-1.cebu_a")).isEqualTo("lb-1.cebu_a");
        assertThat(Store.fileName("../x/\u00e9")).isEqualTo("%2E.%2Fx%2F%C3%A9");
        assertThat(Store.fileName("a".repeat(300))).hasSizeLessThan(120).isNotEqualTo(Store.fileName("a".repeat(301)));
    }

    @Test
    void aWriteThatFailsInTheMiddleLeavesTheOldOneAndIsTriedAgainLater() throws Exception {
        written(OLD);
        boolean[] full = {true};
        Snapshots snapshots = snapshots(settings(), new Disk() {
            @Override
            void write(Path file, ByteBuffer bytes) throws IOException {
                if (full[0]) {
                    super.write(file, bytes.slice(0, bytes.remaining() / 2));
                    throw new IOException("No space left on device");
                }
                super.write(file, bytes);
            }
        });
        snapshots.keep(NEW, NOW);
        assertThat(snapshots.step(0)).isEqualTo(10 * SECOND);
        assertThat(snapshots.step(9 * SECOND)).isEqualTo(SECOND);
        snapshots.step(10 * SECOND);
        assertThat(lines).singleElement().asString().contains("the disk is full");
        assertThat(host(snapshots.read(NOW))).isEqualTo("old");
        assertThat(folder.resolve("r1.farm.new")).as("gives its room back").doesNotExist();
        full[0] = false;
        snapshots.step(20 * SECOND);
        assertThat(host(snapshots.read(NOW))).isEqualTo("new");
        assertThat(lines).last().asString().endsWith("in use (written again)");
        snapshots.close(1);
    }

    @Test
    void aReplacementThatFailsLeavesTheOldOne() throws Exception {
        written(OLD);
        Snapshots snapshots = snapshots(settings(), new Disk() {
            @Override
            void replace(Path from, Path to) throws IOException {
                throw new IOException("Input/output error");
            }
        });
        snapshots.keep(NEW, NOW);
        snapshots.step(0);
        assertThat(host(snapshots.read(NOW))).isEqualTo("old");
        assertThat(lines).singleElement().asString().contains("it cannot be written");
        snapshots.close(1);
    }

    @Test
    void aFolderThatIsMissingOrNoneIsOneLineUntilItIsThere() throws Exception {
        Path none = folder.resolve("none");
        SnapshotSettings missing = new SnapshotSettings(none, "r1", "slices", SECOND, SECOND, 10_000);
        Snapshots snapshots = snapshots(missing, new Disk());
        assertThat(snapshots.read(NOW).finding()).isEqualTo(Finding.NONE);
        Files.writeString(none, "a file");
        assertThat(snapshots.read(NOW).finding()).isEqualTo(Finding.UNREADABLE);
        snapshots.keep(OLD, NOW);
        snapshots.step(0);
        snapshots.step(10 * SECOND);
        assertThat(lines).singleElement().asString().contains("it cannot be written");
        Files.delete(none);
        Files.createDirectory(none);
        snapshots.step(20 * SECOND);
        assertThat(snapshots.read(NOW).finding()).isEqualTo(Finding.GOOD);
        assertThat(lines).hasSize(2);
        snapshots.close(1);
    }

    @Test
    void theNewestIsWrittenAtMostEverySoOftenAndNothingIsQueued() throws Exception {
        List<Integer> writes = new ArrayList<>();
        Snapshots snapshots = snapshots(settings(), new Disk() {
            @Override
            void write(Path file, ByteBuffer bytes) throws IOException {
                writes.add(bytes.remaining());
                super.write(file, bytes);
            }
        });
        snapshots.keep(OLD, NOW);
        assertThat(snapshots.step(0)).isZero();
        snapshots.keep(OLD, NOW);
        snapshots.keep(NEW, NOW);
        assertThat(snapshots.step(5 * SECOND - 1)).isEqualTo(1);
        assertThat(host(snapshots.read(NOW))).isEqualTo("old");
        assertThat(snapshots.step(5 * SECOND)).isZero();
        snapshots.step(100 * SECOND);
        assertThat(host(snapshots.read(NOW))).isEqualTo("new");
        assertThat(writes).hasSize(2);
        snapshots.keep(new Content.Discovery(new JSONObject(Map.of("hosts", "x".repeat(10_000)))), NOW);
        snapshots.step(200 * SECOND);
        assertThat(lines).singleElement().asString().contains("it is too large");
        assertThat(host(snapshots.read(NOW))).isEqualTo("new");
        snapshots.close(1);
    }

    @Test
    void twoRoutersOfOneNameDoNotOverwriteEachOther() throws Exception {
        written(OLD);
        Snapshots other = snapshots(settings("r2", "slices", 10_000), new Disk());
        assertThat(lines).as("another name is another file").isEmpty();
        Snapshots first = snapshots(settings(), new Disk());
        Snapshots second = snapshots(settings(), new Disk());
        assertThat(lines).singleElement().asString().endsWith("r1.farm: another process writes it");
        second.keep(NEW, NOW);
        second.step(0);
        assertThat(host(second.read(NOW))).isEqualTo("old");
        first.close(1);
        second.step(10 * SECOND);
        assertThat(host(second.read(NOW))).as("the first one ended").isEqualTo("new");
        second.close(1);
        other.close(1);
    }

    @Test
    void anotherProcessHoldsTheLockUntilItEnds() throws Exception {
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        SnapshotsTest.class.getName(),
                        folder.toString())
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        try (BufferedReader out =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            assertThat(out.readLine()).isEqualTo("held");
            Store store = new Store(settings(), new Disk());
            assertThat(store.write(NEW, NOW).finding()).isEqualTo(Finding.LOCKED);
            process.destroyForcibly().waitFor();
            assertThat(store.write(NEW, NOW).finding()).isEqualTo(Finding.GOOD);
            store.unlock();
        }
    }

    /** Holds the lock of the router r1 in a folder until it is ended. */
    public static void main(String[] args) throws Exception {
        Store store = new Store(new SnapshotSettings(Path.of(args[0]), "r1", "slices", 1, 1, 10_000), new Disk());
        System.out.println(store.lock() == Finding.GOOD ? "held" : "not held");
        System.in.read();
    }
}
