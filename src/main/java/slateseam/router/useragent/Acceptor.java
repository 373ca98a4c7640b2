package slateseam.router.useragent;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import slateseam.router.net.Deadlines.Deadline;
import slateseam.router.net.Loop;

/**
 * Accepts connections at one listening address. Until {@link #begin} the port is reserved but connections are
 * refused: otherwise a connection set up by the operating system, and the request on it, would wait in the accept
 * queue for a time that is not measured.
 */
public final class Acceptor {
    private static final int BACKLOG = 512;
    /** How long accepting pauses (50 ms) when there is no room for a connection or accepting has failed. */
    private static final long PAUSE_NANOS = 50_000_000L;
    /** Maximum number of connections accepted in one round of the loop. */
    private static final int MAX_ACCEPTS_PER_ROUND = 64;

    /** Takes the accepted connections and limits their number. */
    public interface Gate {
        /** Closes connections that can be spared if the limit is reached. Returns whether one more can be taken. */
        boolean makeRoom();

        /** Takes a connection. */
        void accept(SocketChannel channel) throws IOException;

        /** Registers an action that runs whenever there may be room again. */
        default void onRoom(Runnable action) {}
    }

    private final Loop loop;
    private final Gate gate;
    private final InetSocketAddress address;
    private final boolean shared;
    /** Holds the port without listening; null once the listener has it. */
    private SocketChannel reservation;
    /** The listening channel; null until {@link #begin}. */
    private ServerSocketChannel channel;

    private SelectionKey key;
    private boolean closed;
    /** The end of the current pause; null if accepting is not paused. */
    private Deadline pauseEnds;

    /** Reserves the port of an address without accepting connections; fails if another process listens there. */
    public Acceptor(Loop loop, InetSocketAddress listen, Gate gate) throws IOException {
        this(loop, listen, gate, false);
    }

    /**
     * Reserves the port of an address without accepting connections.
     *
     * @param shared whether another process of this router may listen at the same address ({@code SO_REUSEPORT})
     */
    public Acceptor(Loop loop, InetSocketAddress listen, Gate gate, boolean shared) throws IOException {
        this.loop = loop;
        this.gate = gate;
        this.shared = shared;
        this.reservation = loop.provider().openSocketChannel();
        try {
            // Without this option, which the listener sets by default, binding fails while connections of an earlier
            // process are in TIME_WAIT.
            reservation.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            if (shared) {
                reservation.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            }
            reservation.bind(listen);
            this.address = (InetSocketAddress) reservation.getLocalAddress();
        } catch (IOException e) {
            reservation.close();
            throw cannotListen(listen, e);
        }
        gate.onRoom(this::resume);
    }

    /** Starts to listen and to accept connections; does nothing after {@link #close} or a previous call. */
    public void begin() throws IOException {
        if (closed || channel != null) {
            return;
        }
        ServerSocketChannel listener = loop.provider().openServerSocketChannel();
        try {
            if (shared) {
                listener.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            }
            releasePort();
            listener.bind(address, BACKLOG);
        } catch (IOException e) {
            listener.close();
            throw cannotListen(address, e);
        }
        channel = listener;
        key = loop.register(channel, SelectionKey.OP_ACCEPT, ready -> accept());
    }

    private void releasePort() throws IOException {
        if (reservation != null) {
            reservation.close();
            reservation = null;
        }
    }

    /** Adds the address to the message, as a router may have three listeners. */
    private static IOException cannotListen(InetSocketAddress at, IOException why) {
        return new IOException("cannot listen at " + at + ": " + why.getMessage(), why);
    }

    /** Returns the address that is or will be listened at. */
    public InetSocketAddress address() {
        return address;
    }

    /** Stops listening. */
    public void close() throws IOException {
        closed = true;
        releasePort();
        if (channel != null) {
            channel.close();
        }
    }

    /**
     * Accepts all pending connections and stops listening at once. Otherwise the connections that the operating
     * system has already set up would be reset, as the accept queue of a closed listener is discarded.
     */
    public void closeEmpty() throws IOException {
        if (channel != null) {
            accept(BACKLOG);
        }
        close();
    }

    private void accept() {
        accept(MAX_ACCEPTS_PER_ROUND);
    }

    private void accept(int max) {
        try {
            for (int i = 0; i < max; i++) {
                if (!gate.makeRoom()) {
                    loop.log().line("user-agents-full", "connection limit reached; accepting is paused");
                    pause();
                    return;
                }
                SocketChannel accepted = channel.accept();
                if (accepted == null) {
                    return;
                }
                gate.accept(accepted);
            }
        } catch (IOException e) {
            // When file descriptors run out, the accept queue stays ready and would make the loop spin.
            loop.log().line("accept-failed", e.toString());
            pause();
        }
    }

    /**
     * Pauses accepting. Cancels the timer of an earlier pause first: room that opens and fills again within a pause
     * would otherwise leave a second, self-renewing timer behind.
     */
    private void pause() {
        key.interestOps(0);
        loop.cancel(pauseEnds);
        pauseEnds = loop.after(PAUSE_NANOS, this::resume);
    }

    private void resume() {
        loop.cancel(pauseEnds);
        pauseEnds = null;
        if (!closed && channel != null) {
            key.interestOps(SelectionKey.OP_ACCEPT);
        }
    }
}
