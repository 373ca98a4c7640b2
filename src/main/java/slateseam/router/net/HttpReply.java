package slateseam.router.net;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * An HTTP/1.1 answer, read in place.
 *
 * @param status the status code
 * @param headers the headers, their names in lower case
 * @param body a copy of the body
 */
public record HttpReply(int status, Map<String, String> headers, byte[] body) {
    private static final Pattern STATUS = Pattern.compile("[1-5][0-9][0-9]");
    private static final int MOST_HEADERS = 64;
    /** Room for a load report that nobody here can read. */
    private static final int LONGEST_LINE = 4096;
    private static final int FIRST_FINAL = 200;
    private static final int OK = 200;
    private static final String LENGTH = "content-length";

    /** Whether the connection may be used again. */
    public boolean keepsAlive() {
        return endsByItself(headers) && !headers.getOrDefault("connection", "").equalsIgnoreCase("close");
    }

    /**
     * Reads the final answer and moves the buffer past it. Interim answers (1xx) ahead of it are passed, however many:
     * the time that the final one has bounds them.
     *
     * @return null, with the buffer at the answer that is not whole
     */
    public static HttpReply read(ByteBuffer in) throws MalformedException {
        HttpReply reply;
        int start;
        do {
            start = in.position();
            reply = whole(in);
        } while (reply != null && reply.status < FIRST_FINAL);
        if (reply == null) {
            in.position(start);
        }
        return reply;
    }

    private static HttpReply whole(ByteBuffer in) throws MalformedException {
        ByteBuffer first = Resp.line(in, LONGEST_LINE);
        if (first == null) {
            return null;
        }
        String[] words = Bytes.text(first).split(" ", 3);
        if (words.length < 2 || !words[0].startsWith("HTTP/1.") || !STATUS.matcher(words[1]).matches()) {
            throw new MalformedException("not an HTTP/1.1 status line");
        }
        Map<String, String> headers = new HashMap<>();
        for (ByteBuffer line; (line = Resp.line(in, LONGEST_LINE)) == null || line.hasRemaining();) {
            if (line == null) {
                return null;
            }
            String header = Bytes.text(line);
            int colon = header.indexOf(':');
            if (colon <= 0 || headers.size() >= MOST_HEADERS) {
                throw new MalformedException("a header has no name, or there are too many");
            }
            String name = header.substring(0, colon).toLowerCase(Locale.ROOT);
            String value = header.substring(colon + 1).trim();
            String before = headers.put(name, value);
            if (name.equals(LENGTH) && before != null && !before.equals(value)) {
                throw new MalformedException("two lengths");
            }
        }
        int status = Integer.parseInt(words[1]);
        boolean chunked = isChunked(headers);
        if (status == OK && !endsByItself(headers) || chunked && headers.containsKey(LENGTH)) {
            // Guards against passing on a part as the whole: only a length tells that nothing is missing.
            throw new MalformedException("an answer without a length, or with two");
        }
        boolean bodiless = status < FIRST_FINAL || !endsByItself(headers);
        byte[] body = chunked ? chunks(in) : bytes(in, bodiless ? 0 : length(headers.get(LENGTH), 10));
        return body == null ? null : new HttpReply(status, headers, body);
    }

    private static boolean isChunked(Map<String, String> headers) {
        return headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked");
    }

    private static boolean endsByItself(Map<String, String> headers) {
        return isChunked(headers) || headers.containsKey(LENGTH);
    }

    private static byte[] chunks(ByteBuffer in) throws MalformedException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            ByteBuffer line = Resp.line(in, LONGEST_LINE);
            if (line == null) {
                return null;
            }
            int length = length(Bytes.text(line).split(";", 2)[0].trim(), 16);
            byte[] chunk = bytes(in, length);
            ByteBuffer end = chunk == null ? null : Resp.line(in, LONGEST_LINE);
            if (end == null) {
                return null;
            }
            if (end.hasRemaining()) {
                throw new MalformedException("a chunk does not end where it should, or trailers follow");
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
