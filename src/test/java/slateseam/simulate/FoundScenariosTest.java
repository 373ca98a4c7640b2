package slateseam.simulate;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The smallest days of faults that the simulation has found in the router, kept since their repair. */
class FoundScenariosTest {
    @ParameterizedTest
    @ValueSource(strings = {"pipeline-in-a-planned-end", "request-during-a-start"})
    void breakNoRuleAnyMore(String name) {
        ByteArrayOutputStream said = new ByteArrayOutputStream();
        PrintStream out = new PrintStream(said, true);
        assertThat(SimulateCommand.run(
                        new String[] {"run", "--scenario", "src/test/resources/scenarios/" + name + ".scenario"},
                        out,
                        out))
                .as(said.toString())
                .isZero();
    }
}
