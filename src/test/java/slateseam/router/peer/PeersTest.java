package slateseam.router.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import slateseam.decision.Api.PeerMessage;
import slateseam.router.net.Log;
import slateseam.router.net.Loop;

class PeersTest {
    private final List<String> logged = new ArrayList<>();
    private final List<PeerMessage> told = new ArrayList<>();

    private static DatagramChannel bound() throws Exception {
        return DatagramChannel.open().bind(new InetSocketAddress("127.0.0.1", 0));
    }

    @Test
    void messagesGoToPeersAndComeFromPeersOnly() throws Exception {
        Log log = new Log("n0", () -> 0, logged::add);
        Loop loop = new Loop(() -> 0, log);
        try (DatagramChannel peer = bound();
                DatagramChannel stranger = bound()) {
            InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
            InetSocketAddress other = (InetSocketAddress) peer.getLocalAddress();
            Peers peers = new Peers(loop, any, List.of(any, other), null, told::add);
            SocketAddress listen = peers.address();

            stranger.send(ByteBuffer.wrap(new byte[] {1}), listen);
            peer.send(ByteBuffer.allocate(257), listen);
            peer.send(ByteBuffer.wrap(new byte[] {2}), listen);
            for (int i = 0; told.isEmpty() && i < 5_000; i++) {
                loop.round(1_000_000);
            }
            assertThat(told).singleElement().satisfies(m -> {
                assertThat(m.from()).isEqualTo(1);
                assertThat(m.payload()).containsExactly(2);
            });

            peers.send(1, new byte[257]);
            peers.send(2, new byte[1]);
            peers.send(-1, new byte[1]);
            peers.send(1, new byte[] {3, 4});
            ByteBuffer in = ByteBuffer.allocate(300);
            peer.receive(in);
            assertThat(in.flip().remaining()).isEqualTo(2);
            assertThat(logged).hasSize(5).allMatch(line -> line.startsWith("n0: peer-dropped: "));
        }
    }
}
