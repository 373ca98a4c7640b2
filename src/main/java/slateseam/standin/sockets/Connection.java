package slateseam.standin.sockets;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import slateseam.standin.Party;
import slateseam.standin.Wire;

/** One side of a real connection. What happens on it is told by the loop alone, never within a call. */
final class Connection implements Wire {
    private static final int GATHERED = 64;

    private final SocketNet net;
    private final long number;
    private final SocketChannel channel;
    private final Channeled bytes;
    private final Deque<ByteBuffer> queue = new ArrayDeque<>();
    private final ByteBuffer[] gathered = new ByteBuffer[GATHERED];
    private Party party;
    private SelectionKey key;
    private long unsent;
    private boolean up;
    private boolean ending;
    private boolean endSent;
    private boolean endReceived;
    private boolean paused;
    /** What came before or while it was paused may lie in TLS, of which no readiness tells. */
    private boolean readsAnyway;

    private boolean resetting;
    private boolean closed;

    Connection(SocketNet net, long number, SocketChannel channel, Channeled bytes) {
        this.net = net;
        this.number = number;
        this.channel = channel;
        this.bytes = bytes;
    }

    /** Who is told what happens, and where the loop finds it. */
    void begin(Party told, SelectionKey selected) {
        party = told;
        key = selected;
    }

    @Override
    public long number() {
        return number;
    }

    @Override
    public void write(byte[] more) {
        if (!closed && !ending && !resetting && more.length > 0) {
            queue.add(ByteBuffer.wrap(more));
            unsent += more.length;
            net.touch(this);
        }
    }

    @Override
    public long unsent() {
        return unsent;
    }

    @Override
    public void end() {
        if (!closed && !ending) {
            ending = true;
            net.touch(this);
        }
    }

    @Override
    public void reset() {
        resetting = true;
        net.touch(this);
    }

    @Override
    public void pause(boolean stop) {
        paused = stop;
        readsAnyway |= !stop;
        net.touch(this);
    }

    boolean isPaused() {
        return paused;
    }

    /** The loop found it ready for something. */
    void ready() {
        try {
            if (closed || channel.isConnectionPending() && !channel.finishConnect()) {
                return;
            }
            if (!up && bytes.handshake()) {
                up = true;
                readsAnyway = true;
                party.opened(this);
            }
            if (up && key.isReadable()) {
                read();
            }
        } catch (IOException e) {
            broken();
        }
        net.touch(this);
    }

    private void read() throws IOException {
        ByteBuffer room = net.room();
        for (int got = 1; got > 0 && !closed && !resetting && !paused && !endReceived; ) {
            room.clear();
            got = bytes.read(room);
            if (got > 0) {
                party.received(this, Arrays.copyOf(room.array(), room.position()));
            } else if (got < 0) {
                endReceived = true;
                party.ended(this);
            }
        }
    }

    /** Carries out what was asked for since. */
    void settle() {
        if (closed) {
            return;
        }
        try {
            if (resetting) {
                channel.setOption(StandardSocketOptions.SO_LINGER, 0);
                close();
                return;
            }
            if (up && readsAnyway && !paused) {
                readsAnyway = false;
                read();
            }
            if (up && !endSent) {
                flush();
            }
            if (endSent && endReceived) {
                close();
                return;
            }
            key.interestOps(interest());
        } catch (IOException e) {
            broken();
        }
    }

    private void flush() throws IOException {
        boolean behind = bytes.isBehind();
        while (!queue.isEmpty()) {
            int count = 0;
            for (ByteBuffer buffer : queue) {
                if (count == GATHERED) {
                    break;
                }
                gathered[count++] = buffer;
            }
            long taken = bytes.write(gathered, count);
            unsent -= taken;
            while (!queue.isEmpty() && !queue.peek().hasRemaining()) {
                queue.poll();
            }
            if (taken == 0) {
                return;
            }
        }
        if (behind) {
            bytes.write(gathered, 0);
        }
        if (ending && queue.isEmpty()) {
            endSent = bytes.end();
        }
    }

    private int interest() {
        if (!channel.isConnected()) {
            return SelectionKey.OP_CONNECT;
        }
        boolean writes = !queue.isEmpty() || bytes.isBehind() || up && ending && !endSent;
        boolean reads = !paused && !endReceived;
        return (reads ? SelectionKey.OP_READ : 0) | (writes ? SelectionKey.OP_WRITE : 0);
    }

    private void broken() {
        if (!closed) {
            close();
            party.broken(this);
        }
    }

    void close() {
        closed = true;
        net.gone(this);
        try {
            channel.close();
        } catch (IOException e) {
            // It is gone either way.
        }
    }
}
