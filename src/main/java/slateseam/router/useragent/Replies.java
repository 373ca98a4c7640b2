package slateseam.router.useragent;

import java.nio.ByteBuffer;
import slateseam.router.net.Bytes;
import slateseam.router.net.Clock;
import slateseam.router.request.Answer;

/** Answers as RESP2. */
public final class Replies {
    private static final byte[] LINE_END = Bytes.of("\r\n");

    private Replies() {
    }

    /** The buffers of a request's answer. */
    public static ByteBuffer[] of(Answer answer) {
        if (answer instanceof Answer.Served served) {
            return new ByteBuffer[] {ByteBuffer.wrap(Bytes.of("$" + served.value().length + "\r\n")),
                    ByteBuffer.wrap(served.value()), ByteBuffer.wrap(LINE_END)};
        }
        if (answer instanceof Answer.Unavailable unavailable) {
            long millis = Clock.millisUp(unavailable.retryAfterNanos());
            return line(millis > 0 ? "-BUSY " + millis : "-BUSY");
        }
        return line("-ERR failed");
    }

    /** The buffer of a line. */
    public static ByteBuffer[] line(String text) {
        return new ByteBuffer[] {ByteBuffer.wrap(Bytes.of(text + "\r\n"))};
    }

    /** The answer to a command that is no request. */
    public static ByteBuffer[] other(String command) {
        return line(switch (command) {
            case "PING" -> "+PONG";
            case "CLIENT", "SELECT" -> "+OK";
            default -> "-ERR unknown command";
        });
    }
}
