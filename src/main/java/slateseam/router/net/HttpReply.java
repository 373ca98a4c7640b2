package slateseam.router.net;

import java.nio.ByteBuffer;
import java.util.Map;

/**
 * An HTTP/1.1 answer, read in place.
 *
 * @param status the status code
 * @param headers the headers, their names in lower case
 * @param body a copy of the body
 */
public record HttpReply(int status, Map<String, String> headers, byte[] body) {
    private static final int FIRST_FINAL = 200;
    private static final int DECIMAL = 10;
    private static final int HEXADECIMAL = 16;
    /** The bytes that end a line. */
    private static final int LINE_END = 2;
    /** Of a body: the longest value in chunks of 64 bytes. */
    static final int MOST_CHUNKS = Connection.VALUE_LIMIT / 64;

    /** Whether the connection may be used again. */
    public boolean keepsAlive() {
        return new HttpHead(status, headers).keepsAlive();
    }

    /**
     * Reads the final answer and moves the buffer past it. Interim answers (1xx) ahead of it are passed, however many:
     * the time that the final one has bounds them.
     *
     * @return null, with the buffer at the answer that is not whole
     */
    public static HttpReply read(ByteBuffer in) throws MalformedException {
        return read(in, false);
    }

    /** The same where the other side has ended its sending in order: then an answer that told no length is whole. */
    public static HttpReply readAtEnd(ByteBuffer in) throws MalformedException {
        return read(in, true);
    }

    /** Whether the head of an answer is there by which only the connection's end tells that it is whole; the buffer stays. */
    public static boolean endsWithConnection(ByteBuffer in) throws MalformedException {
        int start = in.position();
        HttpHead head = HttpHead.read(in);
        while (head != null && head.status() < FIRST_FINAL) {
            head = HttpHead.read(in);
        }
        in.position(start);
        return head != null && head.endsWithConnection();
    }

    private static HttpReply read(ByteBuffer in, boolean atEnd) throws MalformedException {
        HttpReply reply;
        int start;
        do {
            start = in.position();
            reply = whole(in, atEnd);
        } while (reply != null && reply.status < FIRST_FINAL);
        if (reply == null) {
            in.position(start);
        }
        return reply;
    }

    private static HttpReply whole(ByteBuffer in, boolean atEnd) throws MalformedException {
        HttpHead head = HttpHead.read(in);
        if (head == null) {
            return null;
        }
        boolean chunked = head.isChunked();
        if (chunked && head.length() != null) {
            throw new MalformedException("an answer with a length and in chunks");
        }
        if (head.endsWithConnection()) {
            // Guards against passing on a part as the whole: a reset is no end.
            return atEnd ? new HttpReply(head.status(), head.headers(), bytes(in, in.remaining())) : null;
        }
        boolean bodiless = head.status() < FIRST_FINAL || !head.endsByItself();
        byte[] body = chunked ? chunks(in) : bytes(in, bodiless ? 0 : length(head.length(), DECIMAL));
        return body == null ? null : new HttpReply(head.status(), head.headers(), body);
    }

    private static byte[] chunks(ByteBuffer in) throws MalformedException {
        int start = in.position();
        int length = passChunks(in);
        if (length < 0) {
            return null;
        }
        int end = in.position();
        in.position(start);
        ByteBuffer body = ByteBuffer.allocate(length);
        while (body.hasRemaining()) {
            int chunk = chunkLength(in);
            body.put(in.slice(in.position(), chunk));
            in.position(in.position() + chunk + LINE_END);
        }
        in.position(end);
        return body.array();
    }

    /**
     * Passes a body in chunks, and gives its length; -1 while it is not whole. Copies nothing: a body that never ends is gone
     * through anew with each part that comes.
     */
    private static int passChunks(ByteBuffer in) throws MalformedException {
        int all = 0;
        for (int i = 0; i < MOST_CHUNKS; i++) {
            int length = chunkLength(in);
            if (length == 0) {
                return passTrailers(in) ? all : -1;
            }
            if (length < 0 || in.remaining() < length + LINE_END) {
                return -1;
            }
            in.position(in.position() + length);
            if (in.get() != '\r' || in.get() != '\n') {
                throw new MalformedException("a chunk does not end where it should");
            }
            all += length;
        }
        throw new MalformedException("an answer in more than " + MOST_CHUNKS + " chunks");
    }

    /** Passes the line ahead of a chunk and gives the chunk's length; -1 while the line is not whole. */
    private static int chunkLength(ByteBuffer in) throws MalformedException {
        int length = 0;
        int end = in.position();
        for (int digit;
                end < in.limit()
                        && length <= Connection.VALUE_LIMIT
                        && (digit = Character.digit(in.get(end), HEXADECIMAL)) >= 0;
                end++) {
            length = HEXADECIMAL * length + digit;
        }
        boolean plain = end > in.position()
                && length <= Connection.VALUE_LIMIT
                && end + 1 < in.limit()
                && in.get(end) == '\r'
                && in.get(end + 1) == '\n';
        if (plain) {
            in.position(end + LINE_END);
            return length;
        }
        ByteBuffer line = Resp.line(in, HttpHead.LONGEST_LINE);
        return line == null ? -1 : length(Bytes.text(line).split(";", 2)[0].trim(), HEXADECIMAL);
    }

    /** Passes what may follow the last chunk, of which nobody here needs any; false while it is not whole. */
    private static boolean passTrailers(ByteBuffer in) throws MalformedException {
        for (int i = 0; i <= HttpHead.MOST_HEADERS; i++) {
            ByteBuffer line = Resp.line(in, HttpHead.LONGEST_LINE);
            if (line == null || !line.hasRemaining()) {
                return line != null;
            }
        }
        throw new MalformedException("too many trailers");
    }

    private static byte[] bytes(ByteBuffer in, int length) {
        if (in.remaining() < length) {
            return null;
        }
        byte[] bytes = new byte[length];
        in.get(bytes);
        return bytes;
    }

    private static int length(String digits, int radix) throws MalformedException {
        try {
            int length = Integer.parseInt(digits, radix);
            if (length >= 0 && length <= Connection.VALUE_LIMIT) {
                return length;
            }
        } catch (NumberFormatException e) {
            // reported below
        }
        throw new MalformedException("a length is no number from 0 to " + Connection.VALUE_LIMIT);
    }
}
