package slateseam.standin.sockets;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.function.Function;
import javax.net.ssl.SSLContext;
import slateseam.standin.Party;
import slateseam.standin.Wire;

/** An address of a stand-in: a port of loopback that it keeps, whether or not it takes connections now. */
final class Place {
    private InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    /** Holds the port while nothing listens: bound, it makes the system refuse connections and give it to nobody. */
    private SocketChannel holder;

    private ServerSocketChannel server;
    private Function<Wire, Party> listener;
    private SSLContext tls;

    Place() throws IOException {
        hold();
    }

    InetSocketAddress address() {
        return address;
    }

    Function<Wire, Party> listener() {
        return listener;
    }

    SSLContext tls() {
        return tls;
    }

    void tls(SSLContext context) {
        tls = context;
    }

    private void hold() throws IOException {
        holder = SocketChannel.open();
        holder.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        holder.bind(address);
        address = (InetSocketAddress) holder.getLocalAddress();
    }

    void listen(Selector selector, Function<Wire, Party> asked) throws IOException {
        listener = asked;
        if (server == null) {
            holder.close();
            holder = null;
            server = ServerSocketChannel.open();
            server.configureBlocking(false);
            server.bind(address, 128);
            server.register(selector, SelectionKey.OP_ACCEPT, this);
        }
    }

    void unlisten(Selector selector) throws IOException {
        if (server != null) {
            server.close();
            server = null;
            // Or the system would go on taking connections until the selector lets go of the socket.
            selector.selectNow();
            hold();
        }
    }

    SocketChannel accept() throws IOException {
        return server == null ? null : server.accept();
    }

    void close() throws IOException {
        if (holder != null) {
            holder.close();
        }
        if (server != null) {
            server.close();
        }
    }
}
