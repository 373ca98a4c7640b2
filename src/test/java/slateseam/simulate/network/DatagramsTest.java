package slateseam.simulate.network;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Datagrams come late, twice, behind one another or not at all. */
class DatagramsTest {
    private static final int COUNT = 2_000;

    private VirtualNetwork net;

    private DatagramChannel open(String ip) throws Exception {
        DatagramChannel channel = net.provider(ip).openDatagramChannel();
        channel.configureBlocking(false);
        return channel.bind(new InetSocketAddress(ip, 7946));
    }

    /** Sends numbered ones and returns the numbers as they come. */
    private List<Integer> send(double lost, double swapped, double doubled) throws Exception {
        net = RouterStage.network(
                Conditions.calm().with(new Conditions.Datagrams(3_000_000, 37_000_000, lost, swapped, doubled)), 11);
        List.of("10.0.0.1", "10.0.0.2").forEach(ip -> net.machine(ip, "a"));
        DatagramChannel from = open("10.0.0.1");
        DatagramChannel to = open("10.0.0.2");
        List<Integer> numbers = new ArrayList<>();
        ByteBuffer in = ByteBuffer.allocate(100);
        for (int i = 0; i < COUNT + 100; i++) {
            if (i < COUNT) {
                from.send(ByteBuffer.allocate(4).putInt(0, i), to.getLocalAddress());
            }
            net.run(net.now() + RouterStage.MILLI);
            while (to.receive(in.clear()) != null) {
                assertThat(in.position()).isEqualTo(4);
                numbers.add(in.getInt(0));
            }
        }
        return numbers;
    }

    private static long behind(List<Integer> numbers) {
        long count = 0;
        for (int i = 1; i < numbers.size(); i++) {
            count += numbers.get(i) < numbers.get(i - 1) ? 1 : 0;
        }
        return count;
    }

    @Test
    void eachTroubleComesAsOftenAsItShould() throws Exception {
        assertThat(send(0, 0, 0)).hasSize(COUNT).isSorted();
        assertThat(send(0.1, 0, 0))
                .hasSizeBetween(COUNT * 85 / 100, COUNT * 95 / 100)
                .isSorted()
                .doesNotHaveDuplicates();
        List<Integer> swapped = send(0, 0.1, 0);
        assertThat(swapped).hasSize(COUNT);
        assertThat(behind(swapped)).isBetween(COUNT * 5L / 100, COUNT * 15L / 100);
        List<Integer> doubled = send(0, 0, 0.1);
        assertThat(doubled).hasSizeBetween(COUNT * 105 / 100, COUNT * 115 / 100);
        assertThat(new HashSet<>(doubled)).hasSize(COUNT);
    }

    @Test
    void theSenderIsTheBoundAddressAndAGroupIsEachOfItsMembers() throws Exception {
        net = RouterStage.network(Conditions.calm(), 5);
        List<String> ips = List.of("10.0.0.1", "10.0.0.2", "10.0.0.3");
        ips.forEach(ip -> net.machine(ip, "a"));
        net.group("10.0.255.1:7946", ips.stream().map(ip -> ip + ":7946").toList());
        List<DatagramChannel> channels = new ArrayList<>();
        for (String ip : ips) {
            channels.add(open(ip));
        }
        net.cut(ips.get(0), ips.get(2), true);
        channels.get(0).send(ByteBuffer.allocate(256), new InetSocketAddress("10.0.255.1", 7946));
        channels.get(2).send(ByteBuffer.allocate(10), new InetSocketAddress("10.0.0.2", 7946));
        net.run(net.now() + 100 * RouterStage.MILLI);
        ByteBuffer in = ByteBuffer.allocate(1_000);
        assertThat(channels.get(0).receive(in)).isNull();
        assertThat(channels.get(2).receive(in)).isNull();
        assertThat(List.of(channels.get(1).receive(in), channels.get(1).receive(in)))
                .containsExactlyInAnyOrder(
                        channels.get(0).getLocalAddress(), channels.get(2).getLocalAddress());
        assertThat(in.position()).isEqualTo(266);
    }
}
