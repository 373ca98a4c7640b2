package slateseam.simulate.network;

import static org.assertj.core.api.Assertions.assertThat;
import static slateseam.simulate.network.RouterStage.command;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The unchanged router serves on the virtual network, however its bytes are split. */
class RouterOnNetworkTest {
    @Test
    void answersComeWholeAndInOrder() throws Exception {
        RouterStage stage = new RouterStage(Conditions.usual(), 7);
        Teller userAgent = stage.userAgent();
        stage.run(3_000);
        assertThat(userAgent.happened).as(stage.log.toString()).containsExactly("opened");
        StringBuilder expected = new StringBuilder();
        for (int i = 0; i < 200; i++) {
            userAgent.wire.write(Teller.bytes(command("PING") + command("CACHE.GET", "k" + i, "i" + i, "c=read,t=acme,d=1500")));
            expected.append("+PONG\r\n$").append(("k" + i).length()).append("\r\nk").append(i).append("\r\n");
            stage.run(100);
        }
        stage.run(1_000);
        assertThat(userAgent.got).as(stage.log.toString()).hasToString(expected.toString());
    }
}
