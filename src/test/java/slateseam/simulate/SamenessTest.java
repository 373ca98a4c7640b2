package slateseam.simulate;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import slateseam.simulate.scenario.Day;
import slateseam.simulate.scenario.FaultChoice;
import slateseam.simulate.scenario.Scenario;
import slateseam.simulate.scenario.Scenarios;

/** One seed gives one hash, wherever and after whatever it is played. */
class SamenessTest {
    private static final int SEEDS = 12;
    private static final Scenario SHORT = Scenarios.usual().withDuration(4_000_000_000L);

    private static String hash(long seed) {
        return new Play(Day.draw(SHORT, seed, FaultChoice.AS_WRITTEN), null)
                .play()
                .hashText();
    }

    private static List<String> hashes(int threads) {
        List<String> hashes = new ArrayList<>();
        SeedRuns.play(1, SEEDS, threads, SamenessTest::hash, hashes::add);
        return hashes;
    }

    /** With one thread and with eight, and each seed after others that differ, as the order of the threads has it. */
    @Test
    void threadsAndEarlierSeedsChangeNothing() {
        List<String> one = hashes(1);
        assertThat(one).doesNotHaveDuplicates();
        assertThat(hashes(8)).isEqualTo(one);
    }

    /** Where sets are salted otherwise and identity hashes are others. */
    @Test
    void anotherProcessChangesNothing() throws Exception {
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx300m",
                        "-XX:+UnlockExperimentalVMOptions",
                        "-XX:hashCode=2",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "slateseam.Main",
                        "simulate",
                        "replay",
                        "3")
                .redirectErrorStream(true)
                .start();
        String said = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertThat(process.waitFor(60, TimeUnit.SECONDS)).isTrue();
        Result here = new Play(Day.draw(Scenarios.usual(), 3, FaultChoice.AS_WRITTEN), null).play();
        assertThat(said).contains("hash " + here.hashText() + " of " + here.happenings() + " happenings");
    }
}
