package slateseam.router.net;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * The head of an HTTP/1.1 answer.
 *
 * @param status the status code, 100 to 599
 * @param headers at most 1,024, their names in lower case
 */
public record HttpHead(int status, Map<String, String> headers) {
    /** Of a head's line or a chunk's; room for a load report that nobody here can read. */
    public static final int LONGEST_LINE = 4096;

    private static final Pattern STATUS = Pattern.compile("[1-5][0-9][0-9]");
    static final int MOST_HEADERS = 1_024;
    private static final int OK = 200;
    private static final String LENGTH = "content-length";

    /**
     * Reads a head and moves the buffer past it.
     *
     * @return null if it is not whole; the buffer may stand anywhere within it then
     */
    public static HttpHead read(ByteBuffer in) throws MalformedException {
        ByteBuffer first = Resp.line(in, LONGEST_LINE);
        if (first == null) {
            return null;
        }
        String[] words = Bytes.text(first).split(" ", 3);
        if (words.length < 2
                || !words[0].startsWith("HTTP/1.")
                || !STATUS.matcher(words[1]).matches()) {
            throw new MalformedException("not an HTTP/1.1 status line");
        }
        Map<String, String> headers = new HashMap<>();
        int lines = 0; // not the map's size: a head that never ends may repeat one name
        for (ByteBuffer line; (line = Resp.line(in, LONGEST_LINE)) == null || line.hasRemaining(); ) {
            if (line == null) {
                return null;
            }
            String header = Bytes.text(line);
            int colon = header.indexOf(':');
            if (colon <= 0 || ++lines > MOST_HEADERS) {
                throw new MalformedException("a header has no name, or there are too many");
            }
            String name = header.substring(0, colon).toLowerCase(Locale.ROOT);
            String value = header.substring(colon + 1).trim();
            String before = headers.put(name, value);
            if (name.equals(LENGTH) && before != null && !before.equals(value)) {
                throw new MalformedException("two lengths");
            }
        }
        return new HttpHead(Integer.parseInt(words[1]), headers);
    }

    /** Whether the body comes in chunks. */
    public boolean isChunked() {
        return headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked");
    }

    /** The length of the body as it was told; null if it was not. */
    public String length() {
        return headers.get(LENGTH);
    }

    /** Whether the end of the body is told by something else than the connection's. */
    public boolean endsByItself() {
        return isChunked() || length() != null;
    }

    /** Whether the body is all that comes until the other side ends the connection. */
    public boolean endsWithConnection() {
        return status == OK && !endsByItself();
    }

    /** Whether the connection may be used again. */
    public boolean keepsAlive() {
        return endsByItself() && !headers.getOrDefault("connection", "").equalsIgnoreCase("close");
    }
}
