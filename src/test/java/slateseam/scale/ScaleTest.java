package slateseam.scale;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import slateseam.trial.RunLine;

/** A small run from its start to its end, and the command's uses. Bounds have wide margins: the machine has other work. */
@Timeout(150)
class ScaleTest {
    private static final Path JAVA = Path.of(System.getProperty("java.home"), "bin", "java");

    @TempDir
    Path dir;

    /** The deployed line, with the classes under test. */
    private static String line() throws Exception {
        return RunLine.deployed(Path.of("deploy/balancer.toml"))
                .replace(" java ", " '" + JAVA + "' ")
                .replace(
                        "-jar target/slateseam.jar",
                        "-cp '" + System.getProperty("java.class.path") + "' slateseam.Main")
                .replace("-XX:SharedArchiveFile=target/slateseam.jsa -Xshare:auto", "-Xshare:auto");
    }

    /** Hollow routers and a real one see one another, share a policy, and all come to know a death; nothing runs afterwards. */
    @Test
    void aRealRouterAmongHollowOnesIsOneOfThem() throws Exception {
        ScaleSettings settings = new ScaleSettings(11, 1, 20, 1, 1, 0, 1, 1, List.of(), 1, 1, 1, true, 60, 120);
        List<Long> before =
                ProcessHandle.current().children().map(ProcessHandle::pid).toList();
        ScaleResult result;
        try (ScaleRun run = new ScaleRun(settings, line(), Path.of("").toAbsolutePath(), dir, text -> {})) {
            result = run.play();
        }
        assertThat(ProcessHandle.current().children().map(ProcessHandle::pid).filter(pid -> !before.contains(pid)))
                .isEmpty();
        assertThat(result.hasFaults()).as(result.text()).isFalse();
        assertThat(figure(result, "all start until one sees all, real")).isEqualTo(1);
        assertThat(figure(result, "change of policy held, real")).isEqualTo(1);
        assertThat(figure(result, "change of policy held, hollow")).isEqualTo(11);
        assertThat(figure(result, "death known, real")).isEqualTo(1);
        assertThat(figure(result, "death known, hollow")).isEqualTo(10);
    }

    /** How many values a figure has; none may be missing. */
    private static int figure(ScaleResult result, String name) {
        Figure found = result.figures().stream()
                .filter(figure -> figure.name().equals(name))
                .findFirst()
                .orElseThrow();
        assertThat(found.missing()).as(result.text()).isZero();
        return found.values().size();
    }

    private static int run(String... args) {
        PrintStream nowhere = new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8);
        return ScaleCommand.run(args, nowhere, nowhere);
    }

    @Test
    void aWrongUseIsRefusedBeforeAnythingStarts() {
        assertThat(run()).isEqualTo(2);
        assertThat(run("play")).isEqualTo(2);
        assertThat(run("run", "--hollow", "0")).isEqualTo(2);
        assertThat(run("run", "--hollow", "1", "--real", "1")).isEqualTo(2);
        assertThat(run("run", "--faults", "earthquake")).isEqualTo(2);
        assertThat(run("run", "--deploy", dir.resolve("none").toString())).isEqualTo(2);
        assertThat(run("help")).isZero();
    }

    /** What did not come counts as later than all that came. */
    @Test
    void whatIsMissingCountsInPercentiles() {
        Figure figure = new Figure("calm", "death known", "s", List.of(3.0, 1.0, 2.0), 1);
        assertThat(figure.percentile(50)).isEqualTo(2);
        assertThat(figure.percentile(75)).isEqualTo(3);
        assertThat(figure.most()).isInfinite();
    }
}
