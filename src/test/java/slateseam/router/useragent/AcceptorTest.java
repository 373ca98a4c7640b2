package slateseam.router.useragent;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import slateseam.router.net.Log;
import slateseam.router.net.Loop;

/** Tests how often a listener tries to accept connections while there is no room for any. */
class AcceptorTest {
    private static final long MILLI = 1_000_000L;
    private static final InetSocketAddress ANYWHERE = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private long now = 1_000 * MILLI;
    private final Loop loop;
    private final FullGate gate = new FullGate();

    AcceptorTest() throws IOException {
        loop = new Loop(() -> now, new Log("n0", () -> now, line -> {}));
    }

    /** A gate without room that repeatedly reports that there may be some. */
    private static final class FullGate implements Acceptor.Gate {
        private final List<Runnable> whenRoom = new ArrayList<>();
        private int asked;
        private boolean room;
        private int taken;

        @Override
        public boolean makeRoom() {
            asked++;
            return room;
        }

        @Override
        public void accept(SocketChannel channel) throws IOException {
            taken++;
            channel.close();
        }

        @Override
        public void onRoom(Runnable action) {
            whenRoom.add(action);
        }

        private void close() {
            whenRoom.forEach(Runnable::run);
        }
    }

    private void pass(long millis) throws IOException {
        for (long i = 0; i < millis; i++) {
            now += MILLI;
            loop.round(0);
        }
    }

    /**
     * Guards against timers that accumulate: each close that made room for a moment used to leave a self-renewing
     * timer behind, so that the loop woke more and more often.
     */
    @Test
    void roomThatOpensAndFillsAgainDoesNotMakeTheLoopLookMoreOften() throws Exception {
        Acceptor acceptor = new Acceptor(loop, ANYWHERE, gate);
        acceptor.begin();
        try (Socket waits =
                new Socket(acceptor.address().getAddress(), acceptor.address().getPort())) {
            assertThat(waits.isConnected()).isTrue();
            pass(10);
            assertThat(gate.asked).as("looks while there is one pause").isEqualTo(1);
            for (int i = 0; i < 100; i++) {
                gate.close();
                pass(1);
            }
            gate.asked = 0;
            pass(1_000);
            assertThat(gate.asked).as("looks within a second without room").isBetween(15, 25);
            gate.room = true;
            pass(60);
            assertThat(gate.taken).isEqualTo(1);
        }
        acceptor.close();
    }
}
