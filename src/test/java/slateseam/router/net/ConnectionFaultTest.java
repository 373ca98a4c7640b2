package slateseam.router.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ProtocolFamily;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.Pipe;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.channels.spi.AbstractSelector;
import java.nio.channels.spi.SelectorProvider;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A fault in the handling of what came: the bytes behind it must not be read as something else. */
class ConnectionFaultTest {
    private final List<String> happened = new ArrayList<>();
    private long now = 1_000_000_000L;

    private final class Faulty extends Connection {
        Faulty(Loop loop, SocketChannel accepted) throws IOException {
            super(loop, accepted);
        }

        @Override
        protected void received(ByteBuffer in) {
            happened.add("received " + in.remaining());
            in.get();
            throw new IllegalStateException("planted");
        }

        @Override
        protected void malformed(MalformedException e) {
            happened.add("malformed");
        }

        @Override
        protected void broken() {
            happened.add("broken");
        }
    }

    private final class Quick extends Connection {
        Quick(Loop loop, SocketChannel accepted) throws IOException {
            super(loop, accepted, 64 * 1024);
        }

        @Override
        protected void received(ByteBuffer in) {
            happened.add("received " + in.remaining());
            in.position(in.limit());
        }

        @Override
        protected void malformed(MalformedException e) {
            happened.add("malformed");
        }

        @Override
        protected void broken() {
            happened.add("broken");
        }
    }

    /** What came before an end that lies there already is not begun when the loop comes late. */
    @ParameterizedTest
    @CsvSource({"0, received 5 broken", "50, broken"})
    void aLoopThatIsLateLooksForTheEndFirst(long busyMillis, String expected) throws Exception {
        Loop loop = new Loop(() -> now, new Log("n0", () -> now, line -> {}));
        try (ServerSocketChannel listener =
                ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
            SocketChannel other = SocketChannel.open(listener.getLocalAddress());
            new Quick(loop, listener.accept());
            loop.after(0, () -> now += busyMillis * 1_000_000);
            loop.round(0);
            other.write(ByteBuffer.wrap(new byte[5]));
            other.close();
            for (int i = 0; !happened.contains("broken") && i < 5_000; i++) {
                loop.round(1_000_000);
            }
        }
        assertThat(String.join(" ", happened)).isEqualTo(expected);
    }

    @Test
    void aConnectionOfWhichNobodyKnowsWhatWasTakenIsClosed() throws Exception {
        List<String> log = new ArrayList<>();
        Loop loop = new Loop(() -> now, new Log("n0", () -> now, log::add));
        try (ServerSocketChannel listener =
                        ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
                SocketChannel other = SocketChannel.open(listener.getLocalAddress())) {
            new Faulty(loop, listener.accept());
            other.write(ByteBuffer.wrap(new byte[5]));
            for (int i = 0; happened.isEmpty() && i < 5_000; i++) {
                loop.round(1_000_000);
            }
            other.write(ByteBuffer.wrap(new byte[7]));
            for (int i = 0; happened.size() < 2 && i < 5_000; i++) {
                loop.round(1_000_000);
            }
        }
        assertThat(happened).containsExactly("received 5", "broken");
        assertThat(log).hasSize(1).allMatch(line -> line.contains("internal-error") && line.contains("planted"));
    }

    /** Opens channels of the system, and remembers the last one that connects. */
    private static final class Remembering extends SelectorProvider {
        private final SelectorProvider system = SelectorProvider.provider();
        private SocketChannel last;

        @Override
        public DatagramChannel openDatagramChannel() throws IOException {
            return system.openDatagramChannel();
        }

        @Override
        public DatagramChannel openDatagramChannel(ProtocolFamily family) throws IOException {
            return system.openDatagramChannel(family);
        }

        @Override
        public Pipe openPipe() throws IOException {
            return system.openPipe();
        }

        @Override
        public AbstractSelector openSelector() throws IOException {
            return system.openSelector();
        }

        @Override
        public ServerSocketChannel openServerSocketChannel() throws IOException {
            return system.openServerSocketChannel();
        }

        @Override
        public SocketChannel openSocketChannel() throws IOException {
            last = system.openSocketChannel();
            return last;
        }
    }

    /** What the system holds back goes with a close over unread bytes; so it holds back nothing. */
    @Test
    void theSystemHoldsBackNothingOnAnyConnection() throws Exception {
        Remembering network = new Remembering();
        Loop loop = new Loop(network, () -> now, new Log("n0", () -> now, line -> {}), 1 << 20);
        try (ServerSocketChannel listener =
                ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
            Connection connecting = new Connection(loop, (InetSocketAddress) listener.getLocalAddress()) {
                @Override
                protected void received(ByteBuffer in) {
                    in.position(in.limit());
                }

                @Override
                protected void malformed(MalformedException e) {
                    happened.add("malformed");
                }

                @Override
                protected void broken() {
                    happened.add("broken");
                }
            };
            SocketChannel accepted = listener.accept();
            Connection taken = new Quick(loop, accepted);
            assertThat(network.last.getOption(StandardSocketOptions.TCP_NODELAY))
                    .isTrue();
            assertThat(accepted.getOption(StandardSocketOptions.TCP_NODELAY)).isTrue();
            connecting.close();
            taken.close();
        }
    }
}
