package slateseam;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import slateseam.UnaskedLoad.Place;

/** A real router process whose servers send bytes that nobody asked for. */
@Timeout(120)
class UnaskedRepliesTest {
    private static final int REQUESTS = 100;
    private static final long SEED = 3;

    @TempDir
    Path folder;

    private void play(Place place, int leastMillis, int mostMillis, boolean probes) throws Exception {
        Path jar = RouterProcess.jar(folder.resolve("router.jar"), null);
        UnaskedServer.Plan plan = new UnaskedServer.Plan(List.of(UnaskedForm.values()), 0.1, leastMillis, mostMillis);
        UnaskedLoad.Outcome outcome = new UnaskedLoad(jar, folder, probes).play(place, plan, REQUESTS, SEED);
        assertThat(outcome.breaks()).as(outcome.figures()).isEmpty();
    }

    @Test
    void noReplyThatACacheServerSendsUnaskedIsTakenForAnAnswer() throws Exception {
        play(Place.CACHE, 0, 3_000, true);
    }

    @Test
    void noReplyThatTheOriginSendsUnaskedIsTakenForAnAnswer() throws Exception {
        play(Place.ORIGIN, 0, 3_000, true);
    }

    @Test
    void noReplyIsTakenForAnotherRequestsWhereProbesAreNotCharged() throws Exception {
        play(Place.CACHE, 0, 3_000, false);
    }
}
