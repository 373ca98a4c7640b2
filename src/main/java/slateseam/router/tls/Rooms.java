package slateseam.router.tls;

import java.nio.ByteBuffer;
import javax.net.ssl.SSLSession;

/**
 * The buffers in which records are opened and sealed: one of each for all connections of a loop, as each is used up
 * before a call ends. So a connection that is idle holds no buffer.
 */
final class Rooms {
    static final ByteBuffer NOTHING = ByteBuffer.allocate(0);

    private final ByteBuffer sealedIn;
    private final ByteBuffer clear;
    private final ByteBuffer sealedOut;

    Rooms(SSLSession session) {
        sealedIn = ByteBuffer.allocate(session.getPacketBufferSize());
        clear = ByteBuffer.allocate(session.getApplicationBufferSize());
        sealedOut = ByteBuffer.allocate(session.getPacketBufferSize());
    }

    /** The longest record, sealed. */
    int packet() {
        return sealedOut.capacity();
    }

    ByteBuffer sealedIn() {
        return sealedIn.clear();
    }

    ByteBuffer clear() {
        return clear.clear();
    }

    ByteBuffer sealedOut() {
        return sealedOut.clear();
    }

    /** A copy of what a buffer still holds, to be kept. */
    static ByteBuffer kept(ByteBuffer rest) {
        return rest.hasRemaining()
                ? ByteBuffer.allocate(rest.remaining()).put(rest).flip()
                : NOTHING;
    }
}
