package slateseam.router.useragent;

import java.nio.ByteBuffer;
import slateseam.router.net.Bytes;
import slateseam.router.net.Clock;
import slateseam.router.request.Answer;

/** Encodes answers to user agents as RESP2. */
public final class Replies {
    private static final byte[] LINE_END = Bytes.of("\r\n");
    /**
     * Maximum framing of a bulk string in bytes: a dollar sign, up to ten digits and two line ends of two bytes
     * each.
     */
    private static final int MAX_FRAMING_BYTES = 15;

    /** Maximum length in bytes of a value that is copied into one buffer with its framing. */
    private static final int MAX_COPIED_BYTES = 4 * 1024;

    private Replies() {}

    /** Encodes the answer to a request. */
    public static ByteBuffer[] of(Answer answer) {
        if (answer instanceof Answer.Served served) {
            return value(served.value());
        }
        if (answer instanceof Answer.Unavailable unavailable) {
            long millis = Clock.millisUp(unavailable.retryAfterNanos());
            return line(millis > 0 ? "-BUSY " + millis : "-BUSY");
        }
        return line("-ERR failed");
    }

    /** Encodes the head of a value of the given length in bytes; {@link #end} follows the value. */
    static ByteBuffer head(int length) {
        return Bytes.putNumber(ByteBuffer.allocate(MAX_FRAMING_BYTES).put((byte) '$'), length)
                .put(LINE_END)
                .flip();
    }

    /** Encodes the terminator of a value. */
    static ByteBuffer end() {
        return ByteBuffer.wrap(LINE_END);
    }

    /** Encodes a value. A short value is copied, so that only one buffer has to be kept and written. */
    private static ByteBuffer[] value(byte[] value) {
        boolean copied = value.length <= MAX_COPIED_BYTES;
        ByteBuffer head = ByteBuffer.allocate(MAX_FRAMING_BYTES + (copied ? value.length : 0));
        Bytes.putNumber(head.put((byte) '$'), value.length).put(LINE_END);
        return copied
                ? new ByteBuffer[] {head.put(value).put(LINE_END).flip()}
                : new ByteBuffer[] {head.flip(), ByteBuffer.wrap(value), ByteBuffer.wrap(LINE_END)};
    }

    /** Encodes a line: a simple string or an error, without its line end. */
    public static ByteBuffer[] line(String text) {
        return new ByteBuffer[] {ByteBuffer.wrap(Bytes.of(text + "\r\n"))};
    }

    /** Encodes the answer to a command that is not a request. */
    public static ByteBuffer[] other(String command, boolean answersPing) {
        return line(
                switch (command) {
                    case "PING" -> answersPing ? "+PONG" : "-ERR user agents are sent away";
                    case "CLIENT", "SELECT" -> "+OK";
                    default -> "-ERR unknown command";
                });
    }
}
