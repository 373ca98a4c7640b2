package slateseam.simulate.network;

import static org.assertj.core.api.Assertions.assertThat;
import static slateseam.simulate.network.RouterStage.command;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import slateseam.standin.Wire;

/** A cache server closes a resting connection in the very moment in which the router writes the next request to it. */
class ClosingServerTest {
    /** Longer than a request takes from its user agent through the router to the server and back. */
    private static final int MOST_MILLIS = 150;

    /** How the server closes. */
    enum Close {
        ENDS {
            @Override
            void carryOut(Wire wire) {
                wire.end();
            }
        },
        RESETS {
            @Override
            void carryOut(Wire wire) {
                wire.reset();
            }
        };

        abstract void carryOut(Wire wire);
    }

    /** Answers each read with its key. */
    private static final class KeyServer extends Teller {
        @Override
        public void received(Wire on, byte[] bytes) {
            super.received(on, bytes);
            String[] lines = got.toString().split("\r\n", -1);
            if (lines.length > 9) {
                got.setLength(0);
                on.write(bytes("*1\r\n$" + lines[4].length() + "\r\n" + lines[4] + "\r\n"));
            }
        }
    }

    private final List<KeyServer> servers = new ArrayList<>();
    private int underWay;
    private int sentAgain;

    @ParameterizedTest
    @EnumSource(Close.class)
    void aReadThatMeetsTheCloseIsAnsweredOnce(Close close) throws Exception {
        for (int after = 0; after <= MOST_MILLIS; after++) {
            meets(close, after);
        }
        assertThat(underWay).as("closes while the request was under way").isPositive();
        assertThat(sentAgain).as("of these, ones after which it was sent again").isPositive();
    }

    private void meets(Close close, int after) throws Exception {
        RouterStage stage = new RouterStage(Conditions.calm(), 5);
        servers.clear();
        stage.net.unlisten("10.0.3.1:6379");
        stage.net.listen("10.0.3.1:6379", wire -> {
            servers.add(new KeyServer());
            return servers.get(servers.size() - 1);
        });
        Teller userAgent = stage.userAgentAfter(50);
        userAgent.wire.write(Teller.bytes(command("CACHE.GET", "one", "first", "c=read,t=acme,d=1400")));
        stage.run(300);
        assertThat(userAgent.got).hasToString("$3\r\none\r\n");
        userAgent.wire.write(Teller.bytes(command("CACHE.GET", "two", "second", "c=read,t=acme,d=1400")));
        stage.run(after);
        boolean unanswered = userAgent.got.length() == "$3\r\none\r\n".length();
        close.carryOut(servers.get(0).wire);
        stage.run(1_400);
        underWay += unanswered ? 1 : 0;
        sentAgain += unanswered && servers.size() > 1 ? 1 : 0;
        assertThat(userAgent.got).as("close after %d ms", after).hasToString("$3\r\none\r\n$3\r\ntwo\r\n");
        assertThat(stage.log).noneMatch(line -> line.contains("internal-error") || line.contains("overdue"));
    }
}
