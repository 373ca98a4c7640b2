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
 * Accepts connections at one listener. Before it has begun nobody can connect: a connection that the system has set up, and the
 * request behind it, would wait in the system's queue unseen, for a time that nobody counts.
 */
public final class Acceptor {
    private static final int BACKLOG = 512;
    private static final long PAUSE_NANOS = 50_000_000L;
    private static final int MOST_AT_ONCE = 64;

    /** Whom the connections are for. */
    public interface Gate {
        /** Whether one more can be taken. */
        boolean makeRoom();

        /** Takes a connection. */
        void accept(SocketChannel channel) throws IOException;

        /** Calls back when there may be room again. */
        default void onRoom(Runnable action) {}
    }

    private final Loop loop;
    private final Gate gate;
    private final InetSocketAddress address;
    private final boolean shared;
    /** Holds the port without listening; null once the listener has it. */
    private SocketChannel reservation;
    /** Null until it has begun. */
    private ServerSocketChannel channel;

    private SelectionKey key;
    private boolean closed;
    /** The end of the pause; null where there is none. */
    private Deadline pauseEnds;

    /** Takes the port of an address, which fails if somebody listens there; connections come once it has begun. */
    public Acceptor(Loop loop, InetSocketAddress listen, Gate gate) throws IOException {
        this(loop, listen, gate, false);
    }

    /** The same, at an address that another process of this router may listen at too. */
    public Acceptor(Loop loop, InetSocketAddress listen, Gate gate, boolean shared) throws IOException {
        this.loop = loop;
        this.gate = gate;
        this.shared = shared;
        this.reservation = loop.provider().openSocketChannel();
        try {
            // As listeners have it: without this the port cannot be had while connections of a process before are not
            // forgotten.
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

    /** Listens, and takes connections from now on; not if it was closed. */
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

    /** There may be three listeners: whoever reads this must know which. */
    private static IOException cannotListen(InetSocketAddress at, IOException why) {
        return new IOException("cannot listen at " + at + ": " + why.getMessage(), why);
    }

    /** Where it listens, or will. */
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
     * Takes all that have come, and stops listening at once. Guards connections that the system has set up already: what lies
     * in the queue of a listener that is closed is reset.
     */
    public void closeEmpty() throws IOException {
        if (channel != null) {
            accept(BACKLOG);
        }
        close();
    }

    private void accept() {
        accept(MOST_AT_ONCE);
    }

    private void accept(int most) {
        try {
            for (int i = 0; i < most; i++) {
                if (!gate.makeRoom()) {
                    loop.log().line("user-agents-full", "no further connection is taken until one can be closed");
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
            // Guards the loop when descriptors run out: the ready backlog would keep it spinning.
            loop.log().line("accept-failed", e.toString());
            pause();
        }
    }

    /** One pause at a time: room that opens and fills again within it must not leave a second one behind, for good. */
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
