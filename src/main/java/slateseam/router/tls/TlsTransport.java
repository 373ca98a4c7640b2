package slateseam.router.tls;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.SSLEngineResult;
import javax.net.ssl.SSLEngineResult.HandshakeStatus;
import javax.net.ssl.SSLEngineResult.Status;
import javax.net.ssl.SSLException;
import slateseam.router.net.Loop;
import slateseam.router.net.Transport;

/**
 * TLS on one connection. What it holds between two calls is at most one record that is not whole yet, one that was
 * opened and not taken, and one that was sealed and not written: 16 KiB each. What takes its time in a handshake is
 * done aside.
 */
public final class TlsTransport implements Transport {
    /** Guards the loop against a flood of records that hold nothing. */
    private static final int RECORDS_A_LOOK = 16;

    private static final int FIRST_RECORD_TYPE = 20;
    private static final int LAST_RECORD_TYPE = 24;

    private final SSLEngine engine;
    private final Rooms rooms;
    private final Loop loop;
    private final Executor aside;
    private SocketChannel channel;
    private Runnable goOn;
    /** Came, and is no whole record yet, or was not looked at yet. */
    private ByteBuffer sealedIn = Rooms.NOTHING;

    private ByteBuffer clear = Rooms.NOTHING;
    private ByteBuffer sealedOut = Rooms.NOTHING;
    private boolean running;
    private boolean open;
    /** Whether what came was found to hold no whole record. */
    private boolean starved;

    private boolean ended;
    private boolean endsSending;
    private String trouble;

    TlsTransport(SSLEngine engine, Rooms rooms, Loop loop, Executor aside) {
        this.engine = engine;
        this.rooms = rooms;
        this.loop = loop;
        this.aside = aside;
    }

    /** Why it could not begin or go on, in one line; null while nothing is wrong with it. */
    public String trouble() {
        return trouble;
    }

    /** Whether the handshake has come to its end. */
    public boolean isOpen() {
        return open;
    }

    @Override
    public void begin(SocketChannel up, Runnable onward) throws IOException {
        channel = up;
        goOn = onward;
        engine.beginHandshake();
    }

    @Override
    public boolean open() throws IOException {
        try {
            while (!open) {
                if (running || !flush()) {
                    return false;
                }
                switch (engine.getHandshakeStatus()) {
                    case NEED_TASK -> runAside();
                    case NEED_WRAP -> seal(Rooms.NOTHING);
                    case NEED_UNWRAP, NEED_UNWRAP_AGAIN -> {
                        if (!openRecord()) {
                            return false;
                        }
                    }
                    default -> open = true;
                }
            }
            return true;
        } catch (IOException e) {
            throw refused(e);
        }
    }

    private void runAside() throws RefusedException {
        running = true;
        try {
            aside.execute(() -> {
                try {
                    for (Runnable task; (task = engine.getDelegatedTask()) != null; ) {
                        task.run();
                    }
                } finally {
                    loop.handOver(() -> {
                        running = false;
                        goOn.run();
                    });
                }
            });
        } catch (RejectedExecutionException e) {
            throw new RefusedException("too many handshakes at once");
        }
    }

    /** Tells the other side what is wrong, if the engine has an alert for it, and keeps it for the log. */
    private IOException refused(IOException e) {
        trouble = Reasons.of(e);
        try {
            if (!running && engine.getHandshakeStatus() == HandshakeStatus.NEED_WRAP && flush()) {
                seal(Rooms.NOTHING);
            }
        } catch (IOException again) {
            // It is the same, or there is nobody to tell any more.
        }
        return new RefusedException(trouble);
    }

    @Override
    public boolean waits() {
        return running;
    }

    @Override
    public int read(ByteBuffer to) throws IOException {
        try {
            for (int i = 0; i < RECORDS_A_LOOK && !clear.hasRemaining(); i++) {
                if (ended) {
                    return -1;
                }
                if (!openRecord()) {
                    return 0;
                }
                answerHandshake();
            }
        } catch (IOException e) {
            throw refused(e);
        }
        int length = Math.min(to.remaining(), clear.remaining());
        to.put(to.position(), clear, clear.position(), length).position(to.position() + length);
        clear.position(clear.position() + length);
        if (!clear.hasRemaining()) {
            clear = Rooms.NOTHING;
        }
        return length;
    }

    /** TLS 1.3 changes keys and hands out tickets in between; what TLS 1.2 does there is a renegotiation. */
    private void answerHandshake() throws IOException {
        HandshakeStatus status = engine.getHandshakeStatus();
        if (ended || status == HandshakeStatus.NOT_HANDSHAKING || status == HandshakeStatus.FINISHED) {
            return;
        }
        if (engine.getSession().getProtocol().equals("TLSv1.2") || status == HandshakeStatus.NEED_TASK) {
            throw new RefusedException("it asked for a renegotiation, which is refused");
        }
        if (status == HandshakeStatus.NEED_WRAP && flush()) {
            seal(Rooms.NOTHING);
        }
    }

    /** Opens the next record; whether there was a whole one. Looks at the channel once at most. */
    private boolean openRecord() throws IOException {
        ByteBuffer in = rooms.sealedIn().put(sealedIn).flip();
        sealedIn = Rooms.NOTHING;
        boolean looked = false;
        try {
            while (true) {
                if (in.hasRemaining() && isNoRecord(in.get(in.position()))) {
                    throw new RefusedException("it speaks no TLS");
                }
                ByteBuffer out = rooms.clear();
                SSLEngineResult result = engine.unwrap(in, out);
                starved = result.getStatus() == Status.BUFFER_UNDERFLOW;
                if (out.position() > 0) {
                    clear = Rooms.kept(out.flip());
                }
                if (!starved) {
                    ended |= result.getStatus() == Status.CLOSED;
                    return opened(result);
                }
                if (looked) {
                    return false;
                }
                looked = true;
                in.compact();
                int come = channel.read(in);
                in.flip();
                if (come < 0) {
                    throw new RefusedException(
                            open
                                    ? "it was cut off without the end that TLS tells"
                                    : "it closed the connection within the handshake");
                }
                if (come == 0) {
                    return false;
                }
            }
        } finally {
            sealedIn = Rooms.kept(in);
        }
    }

    private boolean opened(SSLEngineResult result) throws IOException {
        if (result.getStatus() == Status.BUFFER_OVERFLOW) {
            throw new SSLException("a record is longer than TLS allows");
        }
        if (ended && !open) {
            throw new RefusedException("it ended within the handshake");
        }
        return true;
    }

    /** Guards against taking a plain answer for the head of a very long record, whose rest never comes. */
    private boolean isNoRecord(byte first) {
        return !open && (first < FIRST_RECORD_TYPE || first > LAST_RECORD_TYPE);
    }

    @Override
    public boolean holdsInput() {
        return clear.hasRemaining() || sealedIn.hasRemaining() && !starved || ended;
    }

    @Override
    public int write(ByteBuffer from) throws IOException {
        int before = from.remaining();
        while (from.hasRemaining() && flush()) {
            seal(from);
        }
        return before - from.remaining();
    }

    private void seal(ByteBuffer from) throws IOException {
        ByteBuffer out = rooms.sealedOut();
        SSLEngineResult result = engine.wrap(from, out);
        out.flip();
        channel.write(out);
        sealedOut = Rooms.kept(out);
        if (result.getStatus() == Status.CLOSED && from.hasRemaining()) {
            throw new SSLException("the sending has ended");
        }
    }

    @Override
    public boolean flush() throws IOException {
        if (sealedOut.hasRemaining()) {
            channel.write(sealedOut);
        }
        if (sealedOut.hasRemaining()) {
            return false;
        }
        sealedOut = Rooms.NOTHING;
        if (endsSending && !engine.isOutboundDone()) {
            seal(Rooms.NOTHING);
            if (sealedOut.hasRemaining()) {
                return false;
            }
        }
        if (endsSending && channel.isConnected()) {
            channel.shutdownOutput();
        }
        return true;
    }

    @Override
    public boolean holdsOutput() {
        return sealedOut.hasRemaining();
    }

    @Override
    public void end() throws IOException {
        if (!endsSending) {
            endsSending = true;
            engine.closeOutbound();
        }
    }

    @Override
    public void close() {
        try {
            if (!running) {
                engine.closeOutbound();
                if (!sealedOut.hasRemaining()) {
                    seal(Rooms.NOTHING);
                }
            }
        } catch (IOException e) {
            // The channel is closed behind this anyway.
        }
    }
}
