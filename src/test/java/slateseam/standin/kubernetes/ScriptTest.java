package slateseam.standin.kubernetes;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static slateseam.standin.Stage.MILLI;
import static slateseam.standin.Stage.SECOND;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import slateseam.standin.Stage;

class ScriptTest {
    private static final String BEGIN =
            "# two slices\n\nat 0ms service s port=resp:1 per-slice=2\n" + "at 0ms pods a 4 service=s\n";

    private final Stage stage = new Stage();
    private final Cluster cluster = new Cluster("shop", stage, 1_000);
    private final ApiServer server = new ApiServer("api", ApiFigures.USUAL, stage.world, cluster);
    private boolean over;

    private void play(String lines) throws InvalidScriptException {
        over = false;
        Script.read(BEGIN + lines).play(server, () -> over = true);
    }

    private Asker watching() {
        Asker asker = new Asker(stage);
        asker.ask(Asker.SLICES + "?watch=1&resourceVersion=" + server.version());
        asker.raw();
        return asker;
    }

    private String told(Asker asker) {
        return String.join(", ", asker.events())
                .replaceAll(" [0-9]+", "")
                .replace(cluster.packing("s").names().get(0), "1")
                .replace(cluster.packing("s").names().get(1), "2");
    }

    @Test
    void linesArePlayedAtTheirTimesOnceTheWatchThatTheyWaitForIsOpen() throws InvalidScriptException {
        play("at 0ms await watches=1\nat 10ms slice s/2 take a-1 order=delete-first apart=5ms\n"
                + "at 30ms slice s/1 take a-3 order=add-first apart=5ms # a comment\nat 50ms pod a-2 gone");
        stage.pass(SECOND);
        assertThat(over).isFalse();
        Asker asker = watching();
        stage.pass(7 * MILLI);
        assertThat(told(asker)).isEmpty();
        stage.pass(4 * MILLI);
        assertThat(told(asker)).as("the pod is nowhere for a time").isEqualTo("MODIFIED 1");
        stage.pass(4 * MILLI);
        assertThat(told(asker)).isEqualTo("MODIFIED 2");
        stage.pass(20 * MILLI);
        assertThat(told(asker)).as("the pod is in both for a time").isEqualTo("MODIFIED 1, MODIFIED 2");
        assertThat(over).isFalse();
        stage.pass(20 * MILLI);
        assertThat(over).isTrue();
        assertThat(told(asker)).isEqualTo("MODIFIED 1");
    }

    @Test
    void aSliceThatLagsTellsAnOldStateAndOneRecreatedIsAnotherObject() throws InvalidScriptException {
        play("at 10ms slice s/1 copy a-3\nat 10ms slice s/1 lag 20ms\nat 15ms pod a-3 terminating\nat 60ms end");
        stage.pass(5 * MILLI);
        Asker asker = watching();
        stage.pass(15 * MILLI);
        assertThat(told(asker)).isEqualTo("MODIFIED 1, MODIFIED 2");
        stage.pass(20 * MILLI);
        assertThat(told(asker)).isEqualTo("MODIFIED 1");
        String before = uid();
        cluster.packing("s").recreate(1, 0);
        stage.pass(MILLI);
        assertThat(uid()).isNotEqualTo(before);
        cluster.remove("a-1");
        cluster.remove("a-2");
        cluster.packing("s").drop("a-3", 1);
        assertThat(cluster.packing("s").names())
                .as("an empty slice goes, but not the last")
                .hasSize(1);
        cluster.remove("a-3");
        cluster.remove("a-4");
        assertThat(new Asker(stage)
                        .answer(Asker.SLICES)
                        .getJSONArray("items")
                        .getJSONObject(0)
                        .isNull("endpoints"))
                .isTrue();
    }

    private String uid() {
        return new Asker(stage)
                .answer(Asker.SLICES + '/' + cluster.packing("s").names().get(0))
                .getJSONObject("metadata")
                .getString("uid");
    }

    @Test
    void churnChangesSoManyPodsASecond() throws InvalidScriptException {
        play("at 0ms churn rate=200 for=2s");
        stage.pass(MILLI);
        Asker asker = watching();
        stage.pass(SECOND);
        assertThat(asker.events()).hasSizeBetween(199, 201);
        stage.pass(9 * SECOND);
        assertThat(asker.events()).hasSizeBetween(198, 200);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "at 5ms pod a-9 ready | line 5: there is no pod a-9",
                "at 5ms pod a-1 gone; at 6ms pod a-1 ready | line 6: there is no pod a-1",
                "at 5ms slice s/3 split | line 5: there is no slice s/3",
                "at 5ms slice s/1 take a-1 | line 5: a-1 is in slice 1 already",
                "at 5ms repack t | line 5: there is no service t",
                "at 5ms pods b 0 service=s | line 5: count is 0, no whole number from 1 to 20000",
                "at 5ms pod a-1 redy | line 5: what becomes of the pod is redy, not one of add, ready, unready, terminating, "
                        + "gone, restart, set",
                "at 5ms pod a-1 ready now | line 5: too much: now",
                "at 5ms cut watch where=head | line 5: too much: where=",
                "at 5 compact | line 5: time is 5, no time such as 250us, 40ms or 2s up to an hour",
                "at 5ms compact; at 4ms compact | line 6: the time lies before that of the line before",
                "5ms compact | line 5: at is 5ms, not one of at",
                "at 5ms explode | line 5: there is no command explode",
                "at 5ms service s | line 5: there is a service s already"
            })
    void whatIsWrongIsToldWithItsLine(String lines, String message) {
        assertThatThrownBy(() -> Script.read(BEGIN + lines.replace("; ", "\n")))
                .isInstanceOf(InvalidScriptException.class)
                .hasMessage(message);
    }
}
