package slateseam.router.pass;

import java.nio.ByteBuffer;
import slateseam.router.net.Bytes;
import slateseam.router.net.MalformedException;
import slateseam.router.net.Resp;

/**
 * A command without effect behind an answer that is held back: only its own good reply shows that the answer was no
 * surplus one. An error proves nothing, as it may be the answer that was due; a second command, whose good reply
 * differs from that of the first, then shows how many replies were on their way.
 */
final class Fence {
    private static final byte[] FIRST = Bytes.of("*1\r\n$4\r\nPING\r\n");
    private static final byte[] SECOND = Bytes.of("*1\r\n$6\r\nCLIENT\r\n");
    private static final String FIRST_REPLY = "PONG";
    private static final String SECOND_REPLY = "OK";

    /** Writes a command to the connection. */
    interface Writer {
        void write(ByteBuffer command);
    }

    private final Writer writer;
    private boolean second;

    /** Writes the first command behind an answer. What has come by now cannot be the reply to it. */
    Fence(ByteBuffer in, Writer writer) throws MalformedException {
        if (in.hasRemaining()) {
            throw new MalformedException("a reply more than requests outstanding");
        }
        this.writer = writer;
        writer.write(ByteBuffer.wrap(FIRST));
    }

    /**
     * Takes a reply and returns whether the answers held back are verified by it; false while none has come.
     *
     * @throws MalformedException if another reply comes than the fence has
     */
    boolean isConfirmed(ByteBuffer in) throws MalformedException {
        Resp.Value reply = Resp.reply(in, 0);
        if (reply == null) {
            return false;
        }
        if (reply.type() == '+' && reply.text().equals(second ? SECOND_REPLY : FIRST_REPLY)) {
            return true;
        }
        if (second || reply.type() != '-' || in.hasRemaining()) {
            throw new MalformedException("unexpected reply: not the one that a fence has");
        }
        second = true;
        writer.write(ByteBuffer.wrap(SECOND));
        return false;
    }
}
