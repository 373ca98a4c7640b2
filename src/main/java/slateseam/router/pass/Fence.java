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
    /** How many replies to the first command are still to come. */
    private int awaited;

    private boolean second;

    /**
     * Writes the first command behind an answer. What has come by now cannot be the reply to it.
     *
     * @param times how often the command is written: each time more takes one more surplus reply to be misled by
     */
    Fence(ByteBuffer in, int times, Writer writer) throws MalformedException {
        if (in.hasRemaining()) {
            throw new MalformedException("a reply more than requests outstanding");
        }
        this.writer = writer;
        this.awaited = times;
        for (int i = 0; i < times; i++) {
            writer.write(ByteBuffer.wrap(FIRST));
        }
    }

    /**
     * Takes replies and returns whether the answers held back are verified by them; false while some are to come.
     *
     * @throws MalformedException if another reply comes than the fence has
     */
    boolean isConfirmed(ByteBuffer in) throws MalformedException {
        for (Resp.Value reply; (reply = Resp.reply(in, 0)) != null; ) {
            if (awaited == 0) {
                return expect(reply, SECOND_REPLY);
            }
            awaited--;
            if (reply.type() == '-') {
                writeSecond();
            } else if (expect(reply, FIRST_REPLY) && awaited == 0 && !second) {
                return true;
            }
        }
        return false;
    }

    private void writeSecond() {
        if (!second) {
            second = true;
            writer.write(ByteBuffer.wrap(SECOND));
        }
    }

    private static boolean expect(Resp.Value reply, String text) throws MalformedException {
        if (reply.type() != '+' || !reply.text().equals(text)) {
            throw new MalformedException("unexpected reply: not the one that a fence has");
        }
        return true;
    }
}
