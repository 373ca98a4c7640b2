package slateseam.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import slateseam.router.config.Features;
import slateseam.router.config.NodeConfig;
import slateseam.router.net.Console;
import slateseam.router.net.Log;
import slateseam.router.net.Reader;

/**
 * Guards against a user agent that pipelines thousands of commands on one connection and so delays the other
 * connections: each round of the loop must answer only a bounded number of commands of a connection.
 */
class CommandsAtOnceTest {
    private static final int COMMANDS = 3_000;
    private static final int MAX_ANSWERS_PER_ROUND = 64;
    private static final String PONG = "+PONG\r\n";
    private static final int MAX_ROUNDS = 5_000;

    private final Console console = new Console("n0", new Reader());
    private long now = 1_000_000_000_000L * 1_000_000L;

    private Router router() throws Exception {
        String config = Files.readString(Path.of("src/test/resources/node.json"))
                .replaceAll("\\{(s1|origin|discovery)}", "127.0.0.1:1");
        Router router = new Router(
                NodeConfig.parse(config), Features.OFF, () -> now, new Log("n0", () -> now, console), console);
        for (int i = 0; !router.listens() && i < MAX_ROUNDS; i++) {
            router.loop().round(1_000_000);
        }
        return router;
    }

    private static SocketChannel connect(Router router) throws Exception {
        SocketChannel channel = SocketChannel.open();
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        channel.connect(router.address());
        channel.configureBlocking(false);
        return channel;
    }

    private static int answers(SocketChannel channel) throws Exception {
        ByteBuffer in = ByteBuffer.allocate(COMMANDS * PONG.length());
        int received = channel.read(in);
        assertThat(received % PONG.length())
                .as("whole answers in %s bytes", received)
                .isZero();
        return received / PONG.length();
    }

    @Test
    void commandsBehindOthersOfTheirConnectionWaitARoundAndAllAreAnswered() throws Exception {
        Router router = router();
        try (SocketChannel many = connect(router);
                SocketChannel one = connect(router)) {
            for (int i = 0; i < 10; i++) {
                router.loop().round(0);
            }
            ByteBuffer commands =
                    ByteBuffer.wrap("*1\r\n$4\r\nPING\r\n".repeat(COMMANDS).getBytes(StandardCharsets.US_ASCII));
            many.write(commands);
            assertThat(commands.hasRemaining()).isFalse();
            int answered = 0;
            for (int i = 0; answered < COMMANDS && i < MAX_ROUNDS; i++) {
                router.loop().round(0);
                answered += answers(many);
                assertThat(answered)
                        .as("answers within %s rounds", i + 1)
                        .isLessThanOrEqualTo((i + 1) * MAX_ANSWERS_PER_ROUND);
            }
            assertThat(answered).isEqualTo(COMMANDS);
            // Another connection is served normally afterwards.
            one.write(ByteBuffer.wrap("*1\r\n$4\r\nPING\r\n".getBytes(StandardCharsets.US_ASCII)));
            for (int i = 0; i < 10; i++) {
                router.loop().round(0);
            }
            assertThat(answers(one)).isEqualTo(1);
        }
        router.loop().stop();
        router.loop().run();
        console.close();
    }
}
