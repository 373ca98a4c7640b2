package slateseam.trial;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Two sockets in the place of routers, and the ways between them. */
@Timeout(30)
class DatagramLinksTest {
    private final DatagramSocket a = new DatagramSocket(0, InetAddress.getLoopbackAddress());
    private final DatagramSocket b = new DatagramSocket(0, InetAddress.getLoopbackAddress());
    private final List<String> lost = new ArrayList<>();
    private final DatagramLinks links = new DatagramLinks(
            routers(),
            new DatagramLinks.Conditions(0, 1_000_000, 0, 0),
            RandomSource.XO_RO_SHI_RO_128_PP.create(1L),
            (from, to, bytes, gone) -> {
                synchronized (lost) {
                    lost.addAll(gone ? List.of(new String(bytes, StandardCharsets.US_ASCII)) : List.of());
                    lost.notifyAll();
                }
            });

    DatagramLinksTest() throws IOException {}

    private Map<String, InetSocketAddress> routers() {
        Map<String, InetSocketAddress> routers = new LinkedHashMap<>();
        routers.put("a", (InetSocketAddress) a.getLocalSocketAddress());
        routers.put("b", (InetSocketAddress) b.getLocalSocketAddress());
        return routers;
    }

    @AfterEach
    void close() {
        links.close();
        a.close();
        b.close();
    }

    private void send(DatagramSocket from, String way, String text) throws IOException {
        String[] two = way.split("~");
        byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
        from.send(new DatagramPacket(bytes, bytes.length, links.address(two[0], two[1])));
    }

    private static DatagramPacket receive(DatagramSocket at) throws IOException {
        DatagramPacket packet = new DatagramPacket(new byte[300], 300);
        at.setSoTimeout(10_000);
        at.receive(packet);
        return packet;
    }

    private static String text(DatagramPacket packet) {
        return new String(packet.getData(), 0, packet.getLength(), StandardCharsets.US_ASCII);
    }

    @Test
    void whatComesIsFromTheAddressByWhichItsSenderIsKnown() throws Exception {
        send(a, "a~b", "there");
        DatagramPacket packet = receive(b);
        assertThat(text(packet)).isEqualTo("there");
        assertThat(packet.getSocketAddress()).isEqualTo(links.address("b", "a"));
    }

    @Test
    void aWayThatIsCutInOneDirectionLetsTheOtherPass() throws Exception {
        links.mute("a~b", true);
        links.mute("a~b", true); // two faults at once: the first that ends does not open it
        links.mute("a~b", false);
        for (int i = 0; i < 5; i++) {
            send(a, "a~b", "never " + i);
            send(b, "b~a", "back " + i);
            assertThat(text(receive(a))).isEqualTo("back " + i);
        }
        synchronized (lost) {
            while (lost.size() < 5) {
                lost.wait(10_000);
            }
        }
        links.mute("a~b", false);
        send(a, "a~b", "open");
        assertThat(text(receive(b))).isEqualTo("open");
        assertThat(lost).containsExactly("never 0", "never 1", "never 2", "never 3", "never 4");
    }

    @Test
    void aWayThatIsStalledHandsOnAllInOrderAtItsEnd() throws Exception {
        links.stall("a~b", true);
        for (int i = 0; i < 200; i++) {
            send(a, "a~b", "held " + i);
        }
        send(b, "b~a", "passes");
        assertThat(text(receive(a))).isEqualTo("passes");
        b.setSoTimeout(50);
        assertThat(org.assertj.core.api.Assertions.catchThrowable(
                        () -> b.receive(new DatagramPacket(new byte[300], 300))))
                .isInstanceOf(SocketTimeoutException.class);
        links.stall("a~b", false);
        List<String> come = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            come.add(text(receive(b)));
        }
        assertThat(come)
                .containsExactlyElementsOf(
                        IntStream.range(0, 200).mapToObj(i -> "held " + i).toList());
    }
}
