package slateseam.standin;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 requests from any split. */
public final class HttpReader {
    private static final int LONGEST_LINE = 8_192;
    private static final int MOST_HEADERS = 64;
    private static final int LARGEST_BODY = 65_536;

    /** A request; header names are in lower case, and are only looked up. */
    public record Request(String method, String path, Map<String, String> headers, byte[] body) {
        /** Whether the connection is to end behind the answer. */
        public boolean closes() {
            return headers.getOrDefault("connection", "").equalsIgnoreCase("close");
        }
    }

    private final Inbox inbox;
    private String[] first;
    private Map<String, String> headers = new HashMap<>();
    private int length = -1;

    /** Reads what comes into an inbox. */
    public HttpReader(Inbox inbox) {
        this.inbox = inbox;
    }

    /** The next request; null while it is not whole. */
    public Request next() throws UnreadableException {
        while (length < 0) {
            String line = inbox.line(LONGEST_LINE);
            if (line == null) {
                return null;
            }
            if (first == null) {
                first = line.split(" ", -1);
                if (first.length != 3 || !first[1].startsWith("/") || !first[2].equals("HTTP/1.1")) {
                    throw new UnreadableException("not the first line of a request");
                }
            } else if (line.isEmpty()) {
                length = length(headers.getOrDefault("content-length", "0"));
            } else {
                header(line);
            }
        }
        byte[] body = inbox.take(length);
        if (body == null) {
            return null;
        }
        Request request = new Request(first[0], first[1], headers, body);
        first = null;
        headers = new HashMap<>();
        length = -1;
        return request;
    }

    private void header(String line) throws UnreadableException {
        int colon = line.indexOf(':');
        if (colon <= 0 || headers.size() >= MOST_HEADERS) {
            throw new UnreadableException("a header has no name, or there are too many");
        }
        String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
        if (headers.put(name, line.substring(colon + 1).trim()) != null || name.equals("transfer-encoding")) {
            throw new UnreadableException("a header that nobody sends, or sends twice: " + name);
        }
    }

    private static int length(String digits) throws UnreadableException {
        if (digits.matches("[0-9]{1,6}") && Integer.parseInt(digits) <= LARGEST_BODY) {
            return Integer.parseInt(digits);
        }
        throw new UnreadableException("a length is no number from 0 to " + LARGEST_BODY);
    }
}
