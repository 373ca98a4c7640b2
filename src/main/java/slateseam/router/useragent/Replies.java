package slateseam.router.useragent;

import java.nio.ByteBuffer;
import slateseam.router.net.Bytes;
import slateseam.router.net.Clock;
import slateseam.router.request.Answer;

/** Answers as RESP2. */
public final class Replies {
    private static final byte[] LINE_END = Bytes.of("\r\n");
    /** A dollar, up to ten digits, two ends of lines. */
    private static final int MOST_ROUND_VALUE = 15;

    private static final int MOST_COPIED = 4 * 1024;

    private Replies() {}

    /** The buffers of a request's answer. */
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

    /** What comes before a value of so many bytes; {@link #end} comes behind it. */
    static ByteBuffer head(int length) {
        return Bytes.putNumber(ByteBuffer.allocate(MOST_ROUND_VALUE).put((byte) '$'), length)
                .put(LINE_END)
                .flip();
    }

    /** What comes behind a value. */
    static ByteBuffer end() {
        return ByteBuffer.wrap(LINE_END);
    }

    /** A short value is copied, so that there is one buffer to keep and to gather. */
    private static ByteBuffer[] value(byte[] value) {
        boolean copied = value.length <= MOST_COPIED;
        ByteBuffer head = ByteBuffer.allocate(MOST_ROUND_VALUE + (copied ? value.length : 0));
        Bytes.putNumber(head.put((byte) '$'), value.length).put(LINE_END);
        return copied
                ? new ByteBuffer[] {head.put(value).put(LINE_END).flip()}
                : new ByteBuffer[] {head.flip(), ByteBuffer.wrap(value), ByteBuffer.wrap(LINE_END)};
    }

    /** The buffer of a line. */
    public static ByteBuffer[] line(String text) {
        return new ByteBuffer[] {ByteBuffer.wrap(Bytes.of(text + "\r\n"))};
    }

    /** The answer to a command that is no request. */
    public static ByteBuffer[] other(String command, boolean answersPing) {
        return line(
                switch (command) {
                    case "PING" -> answersPing ? "+PONG" : "-ERR user agents are sent away";
                    case "CLIENT", "SELECT" -> "+OK";
                    default -> "-ERR unknown command";
                });
    }
}
