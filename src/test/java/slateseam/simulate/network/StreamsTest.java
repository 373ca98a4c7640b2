package slateseam.simulate.network;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static slateseam.simulate.network.RouterStage.MILLI;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import slateseam.standin.Wire;

/** Connections under the troubles that a network makes. */
class StreamsTest {
    private static final String CLIENT = "10.0.0.1";
    private static final String SERVER = "10.0.0.2";
    private static final String ADDRESS = SERVER + ":80";
    private static final long SECOND = 1_000 * MILLI;

    private final List<Teller> accepted = new ArrayList<>();
    private final Teller client = new Teller();
    private VirtualNetwork net = network(stream(1_000, 1_000, 0, 0));

    private static Conditions.Streams stream(int buffer, int window, double split, double destroys) {
        return new Conditions.Streams(buffer, window, split, MILLI, 0, 0, 0, destroys);
    }

    private VirtualNetwork network(Conditions.Streams streams) {
        net = RouterStage.network(Conditions.calm().with(streams), 3);
        net.machine(CLIENT, "a");
        net.machine(SERVER, "b");
        net.listen(ADDRESS, wire -> {
            accepted.add(new Teller());
            return accepted.get(accepted.size() - 1);
        });
        return net;
    }

    private void run(long nanos) {
        net.run(net.now() + nanos);
    }

    private Teller connect() {
        net.connect(CLIENT, ADDRESS, client);
        run(SECOND);
        return accepted.get(0);
    }

    private SocketChannel channel() throws Exception {
        SocketChannel channel = net.provider(CLIENT).openSocketChannel();
        channel.configureBlocking(false);
        channel.connect(new InetSocketAddress(SERVER, 80));
        return channel;
    }

    @Test
    void whatIsSentIsSplitAtEachBorderAndComesInOrder() {
        net = network(stream(1_000_000, 1_000_000, 1, 0));
        Teller server = connect();
        String message = "0123456789\r\n";
        Set<Integer> borders = new TreeSet<>();
        for (int i = 0; i < 100; i++) {
            server.got.setLength(0);
            client.wire.write(Teller.bytes(message));
            while (server.got.length() < message.length()) {
                borders.add(server.got.length());
                net.step();
            }
            assertThat(server.got).hasToString(message);
        }
        assertThat(borders).hasSize(message.length());
    }

    @Test
    void aReaderThatStopsHoldsTheWriterUp() throws Exception {
        SocketChannel channel = channel();
        run(SECOND);
        accepted.get(0).wire.pause(true);
        channel.finishConnect();
        byte[] bytes = new byte[10_000];
        for (int i = 0; i < bytes.length; i++) {
            bytes[i] = (byte) ('a' + i % 26);
        }
        ByteBuffer out = ByteBuffer.wrap(bytes);
        for (int i = 0; i < 100; i++) {
            channel.write(out);
            run(100 * MILLI);
        }
        assertThat(out.position()).isEqualTo(2_000); // a window and a buffer
        Readiness readiness = ((VirtualChannel) channel).readiness();
        assertThat(readiness.operations() & SelectionKey.OP_WRITE).isZero();
        accepted.get(0).wire.pause(false);
        run(SECOND);
        assertThat(readiness.operations() & SelectionKey.OP_WRITE).isNotZero();
        for (int i = 0; i < 100; i++) {
            channel.write(out);
            run(100 * MILLI);
        }
        assertThat(accepted.get(0).got).hasToString(new String(bytes, StandardCharsets.ISO_8859_1));

        accepted.get(0).wire.write(bytes);
        run(SECOND);
        assertThat(accepted.get(0).wire.unsent()).isEqualTo(9_000);
    }

    @Test
    void readsAndWritesAreCutShort() throws Exception {
        net = network(new Conditions.Streams(1_000, 1_000, 0, 0, 1, 1, 0, 0));
        SocketChannel channel = channel();
        run(SECOND);
        channel.finishConnect();
        Teller server = accepted.get(0);
        server.wire.write(new byte[100]);
        run(SECOND);
        Set<Integer> read = new TreeSet<>();
        Set<Integer> written = new TreeSet<>();
        ByteBuffer in = ByteBuffer.allocate(100);
        while (in.hasRemaining()) {
            read.add(channel.read(in));
            written.add(channel.write(ByteBuffer.allocate(10)));
        }
        assertThat(read).hasSizeGreaterThan(1).doesNotContain(0);
        assertThat(written).hasSizeGreaterThan(1).doesNotContain(0);
    }

    /** The answer of a side that closes before the next question has come, or over one that it has not read. */
    private Teller close(double destroys, boolean crossing) throws Exception {
        net = network(stream(1_000, 1_000, 0, destroys));
        SocketChannel channel = channel();
        run(SECOND);
        channel.finishConnect();
        Teller server = accepted.get(accepted.size() - 1);
        server.wire.write(Teller.bytes("question"));
        run(crossing ? 5 * MILLI : SECOND);
        channel.write(ByteBuffer.wrap(Teller.bytes("answer")));
        channel.close();
        run(SECOND);
        return server;
    }

    @Test
    void aCloseThatCrossesDataOrComesOverUnreadDataMayDestroyWhatWasJustWritten() throws Exception {
        for (boolean crossing : List.of(true, false)) {
            Teller spoilt = close(1, crossing);
            assertThat(spoilt.happened).containsExactly("opened", "broken");
            assertThat(spoilt.got).isEmpty();
        }
        Teller kept = close(0, true);
        assertThat(kept.happened).containsExactly("opened", "ended", "broken");
        assertThat(kept.got).hasToString("answer");
        Teller cut = close(0, false);
        assertThat(cut.happened).containsExactly("opened", "broken");
        assertThat(cut.got).hasToString("answer");
    }

    @Test
    void aResetDestroysWhatHasNotBeenReadOrComesBehindIt() throws Exception {
        for (int destroys = 0; destroys <= 1; destroys++) {
            net = network(stream(1_000, 1_000, 0, destroys));
            SocketChannel channel = channel();
            run(SECOND);
            channel.finishConnect();
            Teller server = accepted.get(destroys);
            server.wire.write(Teller.bytes("answer"));
            run(SECOND);
            server.wire.reset();
            run(SECOND);
            ByteBuffer in = ByteBuffer.allocate(10);
            if (destroys == 0) {
                assertThat(channel.read(in)).isEqualTo(6);
            }
            assertThatThrownBy(() -> channel.read(in)).hasMessage("Connection reset");
        }
    }

    @Test
    void connectionsThatNeverComeUp() {
        net.connect(CLIENT, SERVER + ":81", client);
        run(SECOND);
        assertThat(client.happened).containsExactly("broken"); // refused
        net.silence(SERVER, true);
        Teller late = new Teller();
        net.connect(CLIENT, ADDRESS, late);
        Teller never = new Teller();
        net.connect(CLIENT, "10.0.0.3:80", never);
        run(100 * SECOND);
        net.silence(SERVER, false);
        assertThat(late.happened).isEmpty();
        run(100 * SECOND);
        assertThat(never.happened).containsExactly("broken");
        assertThat(late.happened).as("its last try was after 63 s").containsExactly("broken");
        Teller soon = new Teller();
        net.cut(CLIENT, SERVER, true);
        net.connect(CLIENT, ADDRESS, soon);
        run(SECOND / 2);
        net.cut(CLIENT, SERVER, false);
        run(SECOND);
        assertThat(soon.happened).containsExactly("opened");
    }

    /** Whenever a connection is given up, also just as it comes up, its place in the back-log is free again. */
    @Test
    void aConnectionGivenUpLeavesNothingBehind() throws Exception {
        ServerSocketChannel listener = net.provider(SERVER).openServerSocketChannel();
        listener.bind(new InetSocketAddress(SERVER, 81), 1);
        List<Integer> taken = new ArrayList<>();
        for (int steps = 0; steps < 12; steps++) {
            SocketChannel channel = net.provider(CLIENT).openSocketChannel();
            channel.configureBlocking(false);
            channel.connect(new InetSocketAddress(SERVER, 81));
            for (int i = 0; i < steps; i++) {
                net.step();
            }
            channel.close();
            run(10 * SECOND);
            SocketChannel left = listener.accept();
            taken.add(left == null ? 0 : left.read(ByteBuffer.allocate(1)));
        }
        // Nobody comes, until the connection was up; from then on one comes that has ended.
        assertThat(taken).startsWith(0, 0, 0).endsWith(-1, -1, -1).isSortedAccordingTo((a, b) -> b - a);
    }

    @Test
    void aFullBacklogLetsNobodyInUntilThereIsRoom() throws Exception {
        ServerSocketChannel listener = net.provider(SERVER).openServerSocketChannel();
        listener.bind(new InetSocketAddress(SERVER, 81), 2);
        List<Teller> clients = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            clients.add(new Teller());
            net.connect(CLIENT, SERVER + ":81", clients.get(i));
        }
        run(SECOND / 2);
        assertThat(clients).extracting(c -> c.happened.size()).containsExactlyInAnyOrder(1, 1, 0);
        assertThat(listener.accept()).isNotNull();
        run(SECOND);
        assertThat(clients).allSatisfy(c -> assertThat(c.happened).containsExactly("opened"));
    }

    @Test
    void aSilentMachineHoldsItsConnectionsOrHasForgottenThem() {
        Teller server = connect();
        net.silence(SERVER, true);
        client.wire.write(Teller.bytes("to the silent"));
        server.wire.write(Teller.bytes("from the silent"));
        run(5 * SECOND);
        assertThat(server.got.length() + client.got.length()).isZero();
        net.silence(SERVER, false);
        run(5 * SECOND);
        assertThat(server.got).hasToString("to the silent");
        assertThat(client.got).hasToString("from the silent");

        net.forget(SERVER);
        run(5 * SECOND);
        assertThat(client.happened).containsExactly("opened");
        client.wire.write(Teller.bytes("to the forgetful"));
        run(SECOND);
        assertThat(client.happened).containsExactly("opened", "broken");
        assertThat(server.happened).containsExactly("opened");
    }

    /** Wherever a cut meets a long message, its pieces, what the sender hears of them and what is written meanwhile. */
    @Test
    void nothingIsLostOrSwappedByACut() {
        for (int steps = 0; steps < 60; steps++) {
            accepted.clear();
            net = network(stream(100, 100, 0.5, 0));
            Teller server = connect();
            StringBuilder written = new StringBuilder();
            for (int i = 0; i < 100; i++) {
                written.append("message ").append(i).append(' ');
            }
            client.wire.write(Teller.bytes(written.toString()));
            for (int i = 0; i < steps; i++) {
                net.step();
            }
            net.cut(CLIENT, SERVER, true);
            run(SECOND);
            net.cut(CLIENT, SERVER, false);
            for (int i = 0; i < 50; i++) {
                client.wire.write(Teller.bytes("more" + i));
                written.append("more").append(i);
                run(20 * MILLI);
            }
            run(5 * SECOND);
            assertThat(server.got).hasToString(written.toString());
        }
    }

    @Test
    void aProcessThatDiesResetsItsConnectionsAndRefusesNewOnes() {
        Teller server = connect();
        server.wire.write(Teller.bytes("last words"));
        net.kill(SERVER);
        Teller later = new Teller();
        net.connect(CLIENT, ADDRESS, later);
        run(SECOND);
        assertThat(client.happened).containsExactly("opened", "broken");
        assertThat(later.happened).containsExactly("broken");
        assertThat(server.happened).containsExactly("opened");
        Wire dead = server.wire;
        dead.write(Teller.bytes("from the dead"));
        run(SECOND);
        assertThat(client.got).hasToString("last words");
    }

    /** Counts its rounds, and takes nothing of what has come. */
    private static final class Idler implements Program {
        final Selector selector;
        int rounds;
        Runnable once = () -> {};

        Idler(Selector selector) {
            this.selector = selector;
        }

        @Override
        public boolean round() throws IOException {
            rounds++;
            selector.selectNow(key -> {});
            Runnable action = once;
            once = () -> {};
            action.run();
            return true;
        }

        @Override
        public long nextDeadline() {
            return Long.MAX_VALUE;
        }
    }

    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD) // else it would not end if time stood still
    void aProgramIsRunWhenItIsWokenAndTimeGoesOnWhileItSpins() throws Exception {
        VirtualProvider process = net.provider(CLIENT);
        Idler idler = new Idler(process.openSelector());
        SocketChannel channel = process.openSocketChannel();
        channel.configureBlocking(false);
        channel.connect(new InetSocketAddress(SERVER, 80));
        SelectionKey key = channel.register(idler.selector, 0);
        process.drive(idler);
        run(SECOND);
        assertThat(idler.rounds).isZero();
        idler.once = idler.selector::wakeup;
        idler.selector.wakeup();
        run(SECOND);
        assertThat(idler.rounds).isEqualTo(2);
        key.interestOps(SelectionKey.OP_CONNECT);
        run(SECOND);
        assertThat(idler.rounds).isBetween(99_900, 100_010); // 10 us each

        channel.finishConnect();
        accepted.get(0).wire.write(Teller.bytes("unread"));
        run(SECOND);
        idler.once = () -> assertThatCode(channel::close).doesNotThrowAnyException();
        idler.selector.wakeup();
        run(SECOND);
        assertThat(accepted.get(0).happened)
                .as("the close is whole though no round follows")
                .containsExactly("opened", "ended", "broken");
        int rounds = idler.rounds;
        idler.selector.wakeup();
        net.kill(CLIENT);
        run(SECOND);
        assertThat(idler.rounds).isEqualTo(rounds);
    }

    @Test
    void aSlowPathTakesLonger() {
        Teller server = connect();
        net.slow(CLIENT, SERVER, 2 * SECOND);
        client.wire.write(Teller.bytes("slow"));
        run(2 * SECOND);
        assertThat(server.got).isEmpty();
        run(SECOND);
        assertThat(server.got).hasToString("slow");
    }
}
