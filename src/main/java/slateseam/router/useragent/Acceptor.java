package slateseam.router.useragent;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import slateseam.router.net.Deadlines.Deadline;
import slateseam.router.net.Loop;

/** Accepts connections at one listener. */
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
        default void onRoom(Runnable action) {
        }
    }

    private final Loop loop;
    private final Gate gate;
    private final ServerSocketChannel channel;
    private final SelectionKey key;
    private boolean closed;
    /** Whether connections are taken from the system's queue; they wait there before. */
    private boolean begun;
    /** The end of the pause; null where there is none. */
    private Deadline pauseEnds;

    /** Listens at an address; connections are taken once it has begun. */
    public Acceptor(Loop loop, InetSocketAddress listen, Gate gate) throws IOException {
        this(loop, listen, gate, false);
    }

    /** The same, at an address that another process of this router may listen at too. */
    public Acceptor(Loop loop, InetSocketAddress listen, Gate gate, boolean shared) throws IOException {
        this.loop = loop;
        this.gate = gate;
        this.channel = loop.provider().openServerSocketChannel();
        try {
            if (shared) {
                channel.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            }
            channel.bind(listen, BACKLOG);
        } catch (IOException e) {
            // There may be three listeners: whoever reads this must know which.
            throw new IOException("cannot listen at " + listen + ": " + e.getMessage(), e);
        }
        this.key = loop.register(channel, 0, ready -> accept());
        gate.onRoom(this::resume);
    }

    /** Takes connections from now on. */
    public void begin() {
        begun = true;
        resume();
    }

    /** Where it listens. */
    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) channel.getLocalAddress();
    }

    /** Stops listening. */
    public void close() throws IOException {
        closed = true;
        channel.close();
    }

    /**
     * Takes all that have come, and stops listening at once. Guards connections that the system has set up already: what lies
     * in the queue of a listener that is closed is reset.
     */
    public void closeEmpty() throws IOException {
        accept(BACKLOG);
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
        if (!closed && begun) {
            key.interestOps(SelectionKey.OP_ACCEPT);
        }
    }
}
