package slateseam.router.net;

import java.io.ByteArrayOutputStream;
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
        byte[] body = chunked ? chunks(in) : bytes(in, bodiless ? 0 : length(head.length(), 10));
        return body == null ? null : new HttpReply(head.status(), head.headers(), body);
    }

    private static byte[] chunks(ByteBuffer in) throws MalformedException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            ByteBuffer line = Resp.line(in, HttpHead.LONGEST_LINE);
            if (line == null) {
                return null;
            }
            int length = length(Bytes.text(line).split(";", 2)[0].trim(), 16);
            byte[] chunk = bytes(in, length);
            ByteBuffer end = chunk == null ? null : Resp.line(in, HttpHead.LONGEST_LINE);
            // Behind the last chunk trailers may follow, of which nobody here needs any.
            for (int i = 0; length == 0 && end != null && end.hasRemaining(); i++) {
                if (i == HttpHead.MOST_HEADERS) {
                    throw new MalformedException("too many trailers");
                }
                end = Resp.line(in, HttpHead.LONGEST_LINE);
            }
            if (end == null) {
                return null;
            }
            if (end.hasRemaining()) {
                throw new MalformedException("a chunk does not end where it should");
            }
            if (length == 0) {
                return body.toByteArray();
            }
            body.writeBytes(chunk);
        }
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
