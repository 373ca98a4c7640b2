package slateseam.router.kubernetes;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;

/** Cache servers that answer every read at once, at one port of 127.0.1.1 and up, on a thread of their own. */
final class CacheFleet implements AutoCloseable {
    private static final byte[] VALUE = "*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] PONG = "+PONG\r\n".getBytes(StandardCharsets.US_ASCII);

    /** A connection, with what came of a command that is not whole. */
    private record Peer(int server, StringBuilder rest) {}

    final int port;
    /** When a request last came to each, by System.nanoTime(); 0 for never. */
    private final long[] last;

    private final long[] served;
    private final Selector selector = Selector.open();
    private final ByteBuffer room = ByteBuffer.allocate(64 * 1024);
    private final Thread thread = new Thread(this::run, "caches");

    CacheFleet(int servers) throws IOException {
        last = new long[servers];
        served = new long[servers];
        int free = 0;
        for (int i = 0; i < servers; i++) {
            ServerSocketChannel listener = ServerSocketChannel.open();
            listener.bind(new InetSocketAddress(address(i), free), 256);
            free = listener.socket().getLocalPort();
            listener.configureBlocking(false);
            listener.register(selector, SelectionKey.OP_ACCEPT, i);
        }
        port = free;
        thread.setDaemon(true);
        thread.start();
    }

    static String address(int server) {
        return "127.0.1." + (server + 1);
    }

    synchronized long last(int server) {
        return last[server];
    }

    synchronized long served(int server) {
        return served[server];
    }

    private void run() {
        try {
            while (selector.isOpen()) {
                selector.select(this::ready);
            }
        } catch (IOException | java.nio.channels.ClosedSelectorException e) {
            // The end.
        }
    }

    private void ready(SelectionKey key) {
        try {
            if (key.isAcceptable()) {
                SocketChannel peer = ((ServerSocketChannel) key.channel()).accept();
                peer.configureBlocking(false);
                Peer come = new Peer((Integer) key.attachment(), new StringBuilder());
                peer.register(selector, SelectionKey.OP_READ, come);
            } else if (!answer((SocketChannel) key.channel(), (Peer) key.attachment())) {
                key.channel().close();
            }
        } catch (IOException e) {
            key.cancel();
        }
    }

    private boolean answer(SocketChannel channel, Peer peer) throws IOException {
        room.clear();
        if (channel.read(room) < 0) {
            return false;
        }
        peer.rest.append(StandardCharsets.ISO_8859_1.decode(room.flip()));
        for (int end; (end = whole(peer.rest)) > 0; ) {
            boolean read = peer.rest.indexOf("CACHE.GET") > 0 && peer.rest.indexOf("CACHE.GET") < end;
            peer.rest.delete(0, end);
            if (read) {
                synchronized (this) {
                    last[peer.server] = System.nanoTime();
                    served[peer.server]++;
                }
            }
            channel.write(ByteBuffer.wrap(read ? VALUE : PONG));
        }
        return true;
    }

    /** Where the first command ends; -1 if it is not whole. */
    private static int whole(StringBuilder text) {
        int line = text.indexOf("\r\n");
        if (line < 0) {
            return -1;
        }
        int items = Integer.parseInt(text.substring(1, line));
        int at = line + 2;
        for (int i = 0; i < items; i++) {
            int head = text.indexOf("\r\n", at);
            if (head < 0) {
                return -1;
            }
            at = head + 2 + Integer.parseInt(text.substring(at + 1, head)) + 2;
        }
        return at <= text.length() ? at : -1;
    }

    @Override
    public void close() throws IOException {
        for (SelectionKey key : selector.keys()) {
            key.channel().close();
        }
        selector.close();
    }
}
