package slateseam.simulate.network;

import static org.assertj.core.api.Assertions.assertThat;
import static slateseam.simulate.network.RouterStage.command;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The unchanged router on the virtual network. */
class RouterOnNetworkTest {
    private static final Conditions ROUGH =
            Conditions.usual().with(new Conditions.Streams(4_096, 4_096, 0.9, RouterStage.MILLI, 0.5, 0.5, 0, 0.5));

    private static void ask(Teller userAgent, int i) {
        userAgent.wire.write(
                Teller.bytes(command("PING") + command("CACHE.GET", "k" + i, "i" + i, "c=read,t=acme,d=1500")));
    }

    private static String answer(int i) {
        return "+PONG\r\n$" + ("k" + i).length() + "\r\nk" + i + "\r\n";
    }

    @Test
    void answersComeWholeAndInOrderHoweverTheirBytesAreSplit() throws Exception {
        RouterStage stage = new RouterStage(ROUGH, 7);
        Teller userAgent = stage.userAgent();
        StringBuilder expected = new StringBuilder();
        stage.run(100);
        for (int i = 0; i < 200; i++) {
            ask(userAgent, i);
            expected.append(answer(i));
            stage.run(100);
        }
        stage.run(1_000);
        assertThat(userAgent.got).as(stage.log.toString()).hasToString(expected.toString());
        assertThat(userAgent.pieces).isGreaterThan(800);
    }

    @Test
    void aPlannedEndClosesTheRouterInOrder() throws Exception {
        RouterStage stage = new RouterStage(Conditions.usual(), 1);
        Teller userAgent = stage.userAgent();
        stage.run(100);
        ask(userAgent, 1);
        stage.run(100);
        stage.router.end(); // is heard at once, though nothing else happens at the router
        stage.run(500);
        assertThat(stage.process.isDriven()).isTrue();
        ask(userAgent, 2);
        stage.run(500);
        assertThat(userAgent.got).hasToString(answer(1) + answer(2));
        assertThat(userAgent.happened).containsExactly("opened", "ended");
        stage.run(1_100); // for a user agent that does not end its side
        assertThat(stage.process.isDriven()).isFalse();
        assertThat(stage.process.open()).isZero();
        assertThat(stage.userAgentAfter(100).happened).containsExactly("broken");
    }

    @Test
    void aKilledRouterResetsItsUserAgents() throws Exception {
        RouterStage stage = new RouterStage(Conditions.usual(), 1);
        Teller userAgent = stage.userAgentAfter(100);
        assertThat(stage.process.open()).isGreaterThan(2);
        stage.process.kill();
        stage.run(100);
        assertThat(userAgent.happened).containsExactly("opened", "broken");
        assertThat(stage.process.open()).isZero();
        assertThat(stage.userAgentAfter(100).happened).containsExactly("broken");
        long before = stage.net.happenings();
        stage.run(10_000);
        assertThat(stage.net.happenings()).as("nothing runs on").isEqualTo(before);
    }

    private static long day(long seed, int requests) throws Exception {
        RouterStage stage = new RouterStage(Conditions.usual(), seed);
        List<Teller> userAgents = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            userAgents.add(stage.userAgentAfter(50));
            for (Teller each : userAgents) {
                if (each.wire != null) {
                    ask(each, i * 100 + userAgents.indexOf(each));
                }
            }
            switch (i) {
                case 4 -> stage.net.silence("10.0.3.1", true);
                case 9 -> stage.net.silence("10.0.3.1", false);
                case 12 -> stage.net.kill("10.0.3.1");
                case 14 -> stage.serve();
                case 18 -> stage.process.kill();
                default -> {}
            }
        }
        return stage.net.hash();
    }

    @Test
    void theSameSeedGivesTheSameHappenings() throws Exception {
        long first = day(1, 20);
        assertThat(day(2, 20)).isNotEqualTo(first);
        assertThat(day(1, 19)).isNotEqualTo(first);
        assertThat(day(1, 20)).isEqualTo(first);
    }
}
