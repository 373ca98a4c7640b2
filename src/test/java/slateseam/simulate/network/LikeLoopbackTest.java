package slateseam.simulate.network;

import static java.nio.channels.SelectionKey.OP_READ;
import static java.nio.channels.SelectionKey.OP_WRITE;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.spi.SelectorProvider;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The two ends of a connection observe on the virtual network what they observe on the system's loopback. */
class LikeLoopbackTest {
    private static List<String> play(Exchange x) throws IOException {
        try {
            halfClose(x);
            closeOverUnread(x);
            resetOverUnread(x);
            closeCrossed(x);
            closeWhileWaiting(x);
            x.connect();
            x.fill(x.client, x.server);
            x.client.close();
            x.begin();
            x.finish();
            x.stopListening();
            x.read(x.client, 1);
            x.client.close();
            x.begin();
            x.finish();
            x.write(x.client, "to nobody");
            x.client.close();
            x.reserveAndListen();
            return x.observed;
        } finally {
            x.close();
        }
    }

    private static void halfClose(Exchange x) throws IOException {
        x.connect();
        x.ready(x.client, OP_READ | OP_WRITE);
        x.write(x.client, "question");
        x.ready(x.server, OP_READ);
        x.read(x.server, 8);
        x.client.shutdownOutput();
        x.read(x.server, 1);
        x.write(x.server, "answer");
        x.read(x.client, 6);
        x.write(x.client, "more");
        x.server.close();
        x.ready(x.client, OP_READ);
        x.read(x.client, 1);
        x.client.close();
    }

    private static void closeOverUnread(Exchange x) throws IOException {
        x.connect();
        x.write(x.client, "question");
        x.ready(x.server, OP_READ);
        x.write(x.server, "answer");
        x.read(x.client, 5);
        x.server.close();
        x.writeInVain(x.client);
        x.ready(x.client, OP_READ | OP_WRITE);
        x.read(x.client, 1);
        x.read(x.client, 1);
        x.write(x.client, "late");
        x.client.close();
    }

    /** Without a selector the close takes effect at once. */
    private static void resetOverUnread(Exchange x) throws IOException {
        x.connect();
        x.write(x.client, "question");
        x.write(x.server, "answer");
        x.read(x.server, 5);
        x.server.close();
        x.ready(x.client, OP_READ);
        x.read(x.client, 6);
        x.read(x.client, 1);
        x.read(x.client, 1);
        x.write(x.client, "late");
        x.client.close();
    }

    private static void closeCrossed(Exchange x) throws IOException {
        x.connect();
        x.write(x.server, "answer");
        x.server.close();
        x.ready(x.client, OP_READ);
        x.writeInVain(x.client);
        x.read(x.client, 6);
        x.read(x.client, 1);
        x.write(x.client, "late");
        x.client.close();
    }

    private static void closeWhileWaiting(Exchange x) throws IOException {
        x.begin();
        x.finish();
        x.write(x.client, "early");
        x.client.close();
        x.server = null;
        x.accept();
        x.read(x.server, 5);
        x.read(x.server, 1);
        x.server.close();
    }

    @Test
    void bothEndsSeeTheSame() throws Exception {
        SelectorProvider system = SelectorProvider.provider();
        List<String> real =
                play(new Exchange(system, system, new InetSocketAddress("127.0.0.1", 0), Thread::onSpinWait));

        Conditions.Streams linux = new Conditions.Streams(100_000, 100_000, 0.5, 1_000_000, 0, 0, 0, 0);
        VirtualNetwork net = RouterStage.network(Conditions.usual().with(linux), 1);
        net.machine("10.0.0.1", "a");
        net.machine("10.0.0.2", "b");
        List<String> virtual = play(new Exchange(
                net.provider("10.0.0.1"),
                net.provider("10.0.0.2"),
                new InetSocketAddress("10.0.0.2", 0),
                () -> net.run(net.now() + RouterStage.MILLI)));
        assertThat(virtual).isEqualTo(real);
        assertThat(real).noneMatch(line -> line.endsWith(": null"));
    }
}
