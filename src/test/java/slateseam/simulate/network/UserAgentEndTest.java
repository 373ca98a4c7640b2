package slateseam.simulate.network;

import static org.assertj.core.api.Assertions.assertThat;
import static slateseam.simulate.network.RouterStage.command;

import org.junit.jupiter.api.Test;

/** Requests whose first attempts fail while their user agent has sent much behind them. */
class UserAgentEndTest {
    /** An eighth of it may be read ahead. */
    private static final long HEAP_BYTES = 1L << 20;

    /** So many commands of a connection are begun; what is behind them is read ahead. */
    private static final int COMMANDS_AT_ONCE = 16;

    private static final int BYTES_WITHIN_BOUND = 50_000;
    private static final int BYTES_BEYOND_BOUND = 200_000;

    private final ScriptedServer.Script script = new ScriptedServer.Script();
    private final RouterStage stage;

    UserAgentEndTest() throws Exception {
        stage = new RouterStage(Conditions.calm(), 5, HEAP_BYTES);
        ScriptedServer.serve(stage, script);
        script.cache = "";
    }

    /** Returns what comes for reads at a cache that is silent, with a write of so many bytes behind them. */
    private String answersWithBehind(int bytes) {
        StringBuilder commands = new StringBuilder();
        for (int i = 0; i < COMMANDS_AT_ONCE; i++) {
            commands.append(command("CACHE.GET", "stage", "read" + i, "c=read,t=acme,d=1400"));
        }
        commands.append(command("CACHE.SET", "other", "write", "c=once,t=acme,d=900", "x".repeat(bytes)));
        Teller userAgent = stage.userAgentAfter(50);
        userAgent.wire.write(Teller.bytes(commands.toString()));
        stage.run(1_300);
        return userAgent.got.toString();
    }

    @Test
    void aFurtherAttemptIsMadeForAUserAgentThatIsSeenToBeThere() {
        assertThat(answersWithBehind(BYTES_WITHIN_BOUND)).startsWith("$5\r\nstage\r\n");
    }

    /** Failure: the origin was asked for a user agent that had left, as its end lay behind more than is read ahead. */
    @Test
    void nothingBeginsForAUserAgentWhoseEndCannotBeSeen() {
        assertThat(answersWithBehind(BYTES_BEYOND_BOUND)).startsWith("-BUSY 2000\r\n");
    }
}
