package slateseam.simulate.network;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.channels.spi.SelectorProvider;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Two ends of connections, client and server, on any network, and what they observe. An observation is awaited, so
 * that it does not depend on how long anything takes; of what may be seen or not, nothing is noted.
 */
final class Exchange {
    /** A guard against waiting for ever. */
    private static final int MOST_ROUNDS = 5_000;

    private static final int BULK = 64 * 1024;

    /** Lets things happen for a moment. */
    interface Moment {
        void pass() throws IOException;
    }

    private interface Attempt {
        /** What was observed; null if nothing yet. */
        String look() throws IOException;
    }

    final List<String> observed = new ArrayList<>();
    private final SelectorProvider clients;
    private final SelectorProvider servers;
    private final Moment moment;
    private final Selector clientSelector;
    private final Selector serverSelector;
    private ServerSocketChannel listener;
    private InetSocketAddress address;
    SocketChannel client;
    SocketChannel server;

    Exchange(SelectorProvider clients, SelectorProvider servers, InetSocketAddress listen, Moment moment)
            throws IOException {
        this.clients = clients;
        this.servers = servers;
        this.moment = moment;
        clientSelector = clients.openSelector();
        serverSelector = servers == clients ? clientSelector : servers.openSelector();
        listener = servers.openServerSocketChannel();
        listener.bind(listen, 10).configureBlocking(false);
        address = (InetSocketAddress) listener.getLocalAddress();
    }

    private String await(String what, Attempt attempt) throws IOException {
        String seen = null;
        for (int i = 0; seen == null && i < MOST_ROUNDS; i++) {
            try {
                seen = attempt.look();
            } catch (IOException | IllegalStateException e) {
                seen = e.getClass().getSimpleName() + " " + e.getMessage();
            }
            moment.pass();
            clientSelector.selectNow(key -> {});
            serverSelector.selectNow(key -> {});
        }
        observed.add(what + ": " + seen);
        return seen;
    }

    void begin() throws IOException {
        client = clients.openSocketChannel();
        client.configureBlocking(false);
        if (client.connect(address)) {
            throw new IOException("up at once");
        }
    }

    void finish() throws IOException {
        ready(client, SelectionKey.OP_CONNECT);
        SocketChannel connecting = client;
        await("finish", () -> connecting.finishConnect() ? "up" : null);
        observed.add("open " + connecting.isOpen() + ", connected " + connecting.isConnected());
    }

    void connect() throws IOException {
        begin();
        finish();
        accept();
        observed.add("addresses match "
                + (server.getRemoteAddress().equals(client.getLocalAddress())
                        && client.getRemoteAddress().equals(address)));
    }

    void accept() throws IOException {
        server = null;
        await("accept", () -> (server = listener.accept()) == null ? null : "accepted");
        server.configureBlocking(false);
    }

    void stopListening() throws IOException {
        listener.close();
    }

    /** Holds a port without listening: nobody else can have it, and nobody can connect, until it is let go and listened at. */
    void reserveAndListen() throws IOException {
        SocketChannel holder = servers.openSocketChannel().setOption(StandardSocketOptions.SO_REUSEADDR, true);
        holder.bind(new InetSocketAddress(address.getAddress(), 0));
        address = (InetSocketAddress) holder.getLocalAddress();
        await("bind at once more", () -> "" + servers.openSocketChannel().bind(address));
        begin();
        finish();
        client.close();
        holder.close();
        listener = servers.openServerSocketChannel();
        listener.bind(address, 10).configureBlocking(false);
        connect();
    }

    /** What of the wanted operations the selector says to be ready, once it says something. */
    void ready(SocketChannel channel, int operations) throws IOException {
        int[] seen = new int[1];
        Selector selector = channel == server ? serverSelector : clientSelector;
        SelectionKey key = register(channel, selector, operations);
        await("ready of " + operations, () -> {
            selector.selectNow(k -> {
                if (k == key) {
                    seen[0] = k.readyOps();
                }
            });
            return seen[0] == 0 ? null : "" + seen[0];
        });
        key.interestOps(0);
    }

    private static SelectionKey register(SelectableChannel channel, Selector selector, int operations)
            throws IOException {
        SelectionKey known = channel.keyFor(selector);
        return known == null ? channel.register(selector, operations) : known.interestOps(operations);
    }

    /** Reads a text, or what is there instead of it. */
    void read(SocketChannel channel, int length) throws IOException {
        ByteBuffer in = ByteBuffer.allocate(length);
        await("read", () -> {
            int n = channel.read(in);
            String text =
                    StandardCharsets.ISO_8859_1.decode(in.duplicate().flip()).toString();
            return n < 0 ? text + "(end)" : in.hasRemaining() ? null : text;
        });
    }

    void write(SocketChannel channel, String text) throws IOException {
        await("write", () -> "" + channel.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1))));
    }

    /** Writes until that fails. */
    void writeInVain(SocketChannel channel) throws IOException {
        await("write in vain", () -> {
            channel.write(ByteBuffer.allocate(1));
            return null;
        });
    }

    /** Writes as much as goes, waits for room after the other side has read all, and compares what has come. */
    void fill(SocketChannel writer, SocketChannel reader) throws IOException {
        long[] moved = new long[2];
        await("fill", () -> {
            int n = writer.write(ByteBuffer.allocate(BULK));
            moved[0] += n;
            return n == 0 ? "full" : null;
        });
        ByteBuffer in = ByteBuffer.allocate(BULK);
        await("drain", () -> {
            moved[1] += reader.read(in.clear());
            return moved[1] == moved[0] ? "all" : null;
        });
        ready(writer, SelectionKey.OP_WRITE);
    }

    void close() throws IOException {
        listener.close();
        clientSelector.close();
        serverSelector.close();
        if (server != null) {
            server.close();
        }
        client.close();
    }
}
