package slateseam.standin.sockets;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.SSLEngineResult;
import javax.net.ssl.SSLEngineResult.HandshakeStatus;
import javax.net.ssl.SSLException;

/** Bytes through TLS, by an engine whose tasks run on the one thread. */
final class Tls implements Channeled {
    private static final ByteBuffer NOTHING = ByteBuffer.allocate(0);

    private final SocketChannel channel;
    private final SSLEngine engine;
    /** From the network, for the engine; ready to be filled. */
    private ByteBuffer in;
    /** From the engine, for the network; ready to be read. */
    private ByteBuffer out;
    /** Bytes of the other party that its reader had no room for; ready to be read. */
    private ByteBuffer clear;

    private boolean up;
    private boolean endTold;
    private boolean ended;

    Tls(SocketChannel channel, SSLEngine engine) throws SSLException {
        this.channel = channel;
        this.engine = engine;
        in = ByteBuffer.allocate(engine.getSession().getPacketBufferSize());
        out = ByteBuffer.allocate(4 * engine.getSession().getPacketBufferSize()).limit(0);
        clear = ByteBuffer.allocate(2 * engine.getSession().getApplicationBufferSize())
                .limit(0);
        engine.beginHandshake();
    }

    @Override
    public boolean handshake() throws IOException {
        while (!up) {
            flush();
            switch (engine.getHandshakeStatus()) {
                case NEED_TASK -> runTasks();
                case NEED_WRAP -> {
                    if (out.hasRemaining()) {
                        return false;
                    }
                    wrapAndFlush();
                }
                case NEED_UNWRAP, NEED_UNWRAP_AGAIN -> {
                    int got = unwrap();
                    if (got < 0) {
                        throw new EOFException("the connection ended within the handshake");
                    }
                    if (got == 0) {
                        return false;
                    }
                }
                default -> up = true;
            }
        }
        return true;
    }

    /** A failure still sends the alert that says why. */
    private void wrapAndFlush() throws IOException {
        try {
            wrap(NOTHING);
        } finally {
            flush();
        }
    }

    private void runTasks() {
        for (Runnable task; (task = engine.getDelegatedTask()) != null; ) {
            task.run();
        }
    }

    /** Lets the engine read once; 1 if it did something, 0 if it needs more, -1 at the end of the connection. */
    private int unwrap() throws IOException {
        clear.compact();
        try {
            while (true) {
                in.flip();
                SSLEngineResult result;
                try {
                    result = engine.unwrap(in, clear);
                } catch (SSLException e) {
                    while (engine.getHandshakeStatus() == HandshakeStatus.NEED_WRAP && !out.hasRemaining()) {
                        wrapAndFlush();
                    }
                    throw e;
                } finally {
                    in.compact();
                }
                switch (result.getStatus()) {
                    case OK -> {
                        runTasks();
                        return 1;
                    }
                    case CLOSED -> {
                        ended = true;
                        return -1;
                    }
                    case BUFFER_OVERFLOW -> {
                        return 0;
                    }
                    default -> {
                        int got = channel.read(in);
                        if (got <= 0) {
                            return got;
                        }
                    }
                }
            }
        } finally {
            clear.flip();
        }
    }

    @Override
    public int read(ByteBuffer into) throws IOException {
        while (!clear.hasRemaining() && !ended) {
            int got = unwrap();
            if (got < 0) {
                ended = true;
            } else if (got == 0) {
                return 0;
            }
            if (engine.getHandshakeStatus() == HandshakeStatus.NEED_WRAP && !out.hasRemaining()) {
                wrapAndFlush();
            }
        }
        if (!clear.hasRemaining()) {
            return -1;
        }
        int length = Math.min(clear.remaining(), into.remaining());
        into.put(into.position(), clear, clear.position(), length);
        into.position(into.position() + length);
        clear.position(clear.position() + length);
        return length;
    }

    @Override
    public long write(ByteBuffer[] buffers, int count) throws IOException {
        long taken = 0;
        flush();
        for (int i = 0; i < count; i++) {
            while (buffers[i].hasRemaining() && !out.hasRemaining()) {
                int before = buffers[i].remaining();
                wrap(buffers[i]);
                taken += before - buffers[i].remaining();
                flush();
            }
        }
        return taken;
    }

    private void wrap(ByteBuffer from) throws IOException {
        out.compact();
        try {
            engine.wrap(from, out);
        } finally {
            out.flip();
        }
    }

    private void flush() throws IOException {
        if (out.hasRemaining()) {
            channel.write(out);
        }
    }

    @Override
    public boolean isBehind() {
        return out.hasRemaining();
    }

    @Override
    public boolean end() throws IOException {
        flush();
        if (!endTold && !out.hasRemaining()) {
            endTold = true;
            engine.closeOutbound();
            wrapAndFlush();
        }
        if (!endTold || out.hasRemaining()) {
            return false;
        }
        channel.shutdownOutput();
        return true;
    }
}
