package slateseam.standin;

import java.nio.charset.StandardCharsets;

/** Answers and parts of them, as bytes. */
final class Answers {
    private static final int CHUNK = 1_000;

    private Answers() {}

    static byte[] text(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static String latin(byte[] bytes) {
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    static byte[] join(byte[]... parts) {
        int length = 0;
        for (byte[] part : parts) {
            length += part.length;
        }
        byte[] whole = new byte[length];
        int at = 0;
        for (byte[] part : parts) {
            System.arraycopy(part, 0, whole, at, part.length);
            at += part.length;
        }
        return whole;
    }

    /** A line of RESP2. */
    static byte[] line(String text) {
        return text(text + "\r\n");
    }

    /** An answer without a value. */
    static byte[] valueless(String how) {
        return text("*3\r\n$-1\r\n$" + how.length() + "\r\n" + how + "\r\n$-1\r\n");
    }

    /** A bulk string. */
    static byte[] bulk(String text) {
        return text("$" + text.length() + "\r\n" + text + "\r\n");
    }

    /** An HTTP answer with a body. */
    static byte[] http(int status, String headers, String body) {
        return text(status(status) + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    private static String status(int status) {
        String reason = switch (status) {
            case 200 -> "OK";
            case 400 -> "Bad Request";
            case 404 -> "Not Found";
            case 500 -> "Internal Server Error";
            case 503 -> "Service Unavailable";
            default -> "Gateway Timeout";
        };
        return "HTTP/1.1 " + status + ' ' + reason + "\r\n";
    }

    /** An interim answer. */
    static byte[] interim() {
        return text("HTTP/1.1 102 Processing\r\n\r\n");
    }

    /** A body in chunks, and its end. */
    static byte[] chunks(byte[] body) {
        byte[][] parts = new byte[2 * (body.length / CHUNK + 1) + 1][];
        int used = 0;
        for (int at = 0; at < body.length; at += CHUNK) {
            int length = Math.min(CHUNK, body.length - at);
            parts[used++] = text((at == 0 ? "" : "\r\n") + Integer.toHexString(length) + "\r\n");
            parts[used++] = java.util.Arrays.copyOfRange(body, at, at + length);
        }
        parts[used++] = text((body.length == 0 ? "" : "\r\n") + "0\r\n\r\n");
        return join(java.util.Arrays.copyOf(parts, used));
    }
}
