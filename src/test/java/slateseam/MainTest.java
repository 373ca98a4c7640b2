package slateseam;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class MainTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private int run(String... args) {
        return Main.run(args, new PrintStream(out, true), new PrintStream(err, true));
    }

    @Test
    void anUnknownCommandOrOptionIsAUsageError() {
        assertThat(run()).isEqualTo(2);
        assertThat(run("wirehost")).isEqualTo(2);
        assertThat(run("version", "more")).isEqualTo(2);
        assertThat(run("benchlink", "--config", "x")).isEqualTo(2);
        assertThat(err.toString()).contains("unknown command wirehost", "unexpected more");
    }

    @Test
    void aBadConfigurationIsOnePlainLine(@TempDir Path dir) throws Exception {
        Path file = Files.writeString(dir.resolve("config.json"), "{\"name\":\n7}");
        assertThat(run("serve", "--config", file.toString())).isEqualTo(2);
        assertThat(err.toString()).startsWith("slateseam: bad configuration: ").containsOnlyOnce("\n");
    }

    @Test
    void aBadSettingsFileIsOnePlainLineThatNamesFileAndLine(@TempDir Path dir) throws Exception {
        Path file = Files.writeString(dir.resolve("slateseam.conf"), "# ours\nmultiget_port 6379\n");
        String fault = "slateseam: bad configuration: " + file + ":2: multiget_port is 6379, which clashes with "
                + "the program's own address" + System.lineSeparator();
        for (String command : new String[] {"serve", "check-config"}) {
            err.reset();
            assertThat(run(command, "--config", "examples/config.json", "--features", file.toString())).isEqualTo(2);
            assertThat(err.toString()).isEqualTo(fault);
        }
        assertThat(run("benchlink", "--features", file.toString())).isEqualTo(2);
    }

    @Test
    void theSettingsFilesThatComeWithTheProgramAreInOrder() {
        for (String file : new String[] {"deploy/slateseam.conf", "examples/slateseam.conf"}) {
            assertThat(run("check-config", "--config", "examples/config.json", "--features", file)).isZero();
        }
    }

    @Test
    void versionPrintsALine() {
        assertThat(run("version")).isZero();
        assertThat(out.toString()).startsWith("slateseam ");
    }
}
