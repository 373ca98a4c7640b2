package slateseam.router.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import slateseam.decision.Api.PeerMessage;
import slateseam.router.net.Bytes;
import slateseam.router.net.Loop;

/** Datagrams between routers; they may come late or not at all. */
public final class Peers {
    private static final int MOST_BYTES = 256;
    private static final int EVERY_PEER = -1;
    private static final int NOBODY = -1;
    private static final int MOST_AT_ONCE = 64;

    private final Loop loop;
    private final List<InetSocketAddress> peers;
    /** The number of the router at an address. */
    private final Map<SocketAddress, Integer> numbers = new HashMap<>();

    private final InetSocketAddress all;
    private final Consumer<PeerMessage> listener;
    private final DatagramChannel channel;
    private final Map<Byte, BiConsumer<InetSocketAddress, byte[]>> diverted = new HashMap<>();
    private final ByteBuffer input = ByteBuffer.allocate(MOST_BYTES + 1);

    /** Listens for the other routers' messages. */
    public Peers(
            Loop loop,
            InetSocketAddress listen,
            List<InetSocketAddress> peers,
            InetSocketAddress all,
            Consumer<PeerMessage> listener)
            throws IOException {
        this.loop = loop;
        this.peers = peers;
        for (int i = 0; i < peers.size(); i++) {
            numbers.putIfAbsent(peers.get(i), i);
        }
        this.all = all;
        this.listener = listener;
        this.channel = loop.provider().openDatagramChannel();
        try {
            channel.bind(listen);
        } catch (IOException e) {
            channel.close();
            throw e;
        }
        loop.register(channel, SelectionKey.OP_READ, key -> receive());
    }

    /** The number of the router that sends from an address; -1 if none does. */
    public int number(SocketAddress from) {
        return numbers.getOrDefault(from, NOBODY);
    }

    /** Datagrams whose first byte is this go there instead, whoever sent them. */
    public void divert(byte first, BiConsumer<InetSocketAddress, byte[]> to) {
        diverted.put(first, to);
    }

    /** Sends a datagram to an address; one that cannot be sent is lost. */
    public void send(InetSocketAddress to, byte[] payload) {
        try {
            channel.send(ByteBuffer.wrap(payload), to);
        } catch (IOException e) {
            loop.log().line("peer-dropped", e.toString());
        }
    }

    /** Lets go of the port, so that another process of this router can have it. */
    public void close() throws IOException {
        channel.close();
    }

    /** Where messages arrive. */
    public SocketAddress address() throws IOException {
        return channel.getLocalAddress();
    }

    /** Sends a message to a router by its number, or to every router. */
    public void send(int to, byte[] payload) {
        InetSocketAddress address = to == EVERY_PEER ? all : to >= 0 && to < peers.size() ? peers.get(to) : null;
        if (address == null || payload.length > MOST_BYTES) {
            loop.log().line("peer-dropped", "a message of " + payload.length + " bytes to router " + to);
            return;
        }
        try {
            channel.send(ByteBuffer.wrap(payload), address);
        } catch (IOException e) {
            loop.log().line("peer-dropped", e.toString());
        }
    }

    private void receive() throws IOException {
        for (int i = 0; i < MOST_AT_ONCE; i++) {
            SocketAddress from = channel.receive(input.clear());
            if (from == null) {
                return;
            }
            byte[] payload = Bytes.copy(input.flip());
            var elsewhere = payload.length == 0 ? null : diverted.get(payload[0]);
            if (elsewhere != null) {
                elsewhere.accept((InetSocketAddress) from, payload);
                continue;
            }
            int sender = number(from);
            if (sender == NOBODY || payload.length > MOST_BYTES) {
                loop.log().line("peer-dropped", "a message of " + payload.length + " bytes from " + from);
            } else {
                listener.accept(new PeerMessage(sender, payload));
            }
        }
    }
}
