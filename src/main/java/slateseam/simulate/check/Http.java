package slateseam.simulate.check;

import java.io.ByteArrayOutputStream;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * One message of HTTP/1.1.
 *
 * @param first its first line
 * @param headers its headers, their names in lower case
 * @param body its body
 */
record Http(String first, Map<String, String> headers, byte[] body) {
    private static final int LONGEST_HEAD = 256 * 1024;
    private static final int LONGEST_BODY = 64 * 1024 * 1024;

    /** Takes the next message; null while it is not whole, and nothing is taken. */
    static Http read(Pieces in) throws Garbled {
        int end = headEnd(in);
        if (end < 0) {
            if (in.size() > LONGEST_HEAD) {
                throw new Garbled("a head does not end");
            }
            return null;
        }
        String[] lines = in.text(0, end).split("\r\n");
        if (!lines[0].contains("HTTP/1.")) {
            throw new Garbled("no first line of HTTP/1: " + lines[0]);
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            if (colon <= 0) {
                throw new Garbled("a header without a name");
            }
            String value = lines[i].substring(colon + 1).trim();
            String before = headers.put(lines[i].substring(0, colon).toLowerCase(Locale.ROOT), value);
            if (before != null
                    && !before.equals(value)
                    && lines[i].toLowerCase(Locale.ROOT).startsWith("content-length")) {
                throw new Garbled("two lengths");
            }
        }
        int body = end + 4;
        if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
            return chunked(in, lines[0], headers, body);
        }
        int length = number(headers.getOrDefault("content-length", "0"), 10);
        if (in.size() < body + length) {
            return null;
        }
        Http whole = new Http(lines[0], headers, in.copy(body, body + length));
        in.consume(body + length);
        return whole;
    }

    private static int headEnd(Pieces in) {
        for (int line = 0; (line = in.lineEnd(line)) >= 0; line += 2) {
            if (line + 3 < in.size() && in.at(line + 2) == '\r' && in.at(line + 3) == '\n') {
                return line;
            }
        }
        return -1;
    }

    private static Http chunked(Pieces in, String first, Map<String, String> headers, int from) throws Garbled {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        int at = from;
        while (true) {
            int end = in.lineEnd(at);
            if (end < 0) {
                return null;
            }
            int length = number(in.text(at, end).split(";", 2)[0].trim(), 16);
            int next = end + 2 + length + 2;
            if (in.size() < next) {
                return null;
            }
            if (in.at(next - 2) != '\r' || in.at(next - 1) != '\n') {
                throw new Garbled("a chunk does not end where it should");
            }
            body.writeBytes(in.copy(end + 2, end + 2 + length));
            at = next;
            if (length == 0) {
                in.consume(at);
                return new Http(first, headers, body.toByteArray());
            }
        }
    }

    private static int number(String digits, int radix) throws Garbled {
        try {
            int number = Integer.parseInt(digits, radix);
            if (number >= 0 && number <= LONGEST_BODY) {
                return number;
            }
        } catch (NumberFormatException e) {
            // reported below
        }
        throw new Garbled("a length is " + digits);
    }

    /** The status of an answer; 0 if it has none. */
    int status() {
        String[] words = first.split(" ", 3);
        return words.length > 1 && words[1].matches("[1-5][0-9][0-9]") ? Integer.parseInt(words[1]) : 0;
    }
}
