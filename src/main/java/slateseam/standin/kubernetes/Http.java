package slateseam.standin.kubernetes;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Answers as Go's server writes them: short ones with a length, long ones and watches in chunks. */
final class Http {
    static final byte[] END = ascii("0\r\n\r\n");
    private static final int LONGEST_WITH_LENGTH = 2_048;

    private Http() {}

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static byte[] whole(int status, String headers, String text, int chunkBytes) {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream answer = new ByteArrayOutputStream(body.length + 512);
        if (body.length <= LONGEST_WITH_LENGTH) {
            answer.writeBytes(head(status, headers + "Content-Length: " + body.length + "\r\n"));
            answer.writeBytes(body);
        } else {
            answer.writeBytes(head(status, headers + "Transfer-Encoding: chunked\r\n"));
            answer.writeBytes(chunks(body, chunkBytes));
            answer.writeBytes(END);
        }
        return answer.toByteArray();
    }

    /** The head of a watch's answer. */
    static byte[] stream() {
        return head(200, "Transfer-Encoding: chunked\r\n");
    }

    /** A text as one chunk or several. */
    static byte[] chunks(String text, int longest) {
        return chunks(text.getBytes(StandardCharsets.UTF_8), longest);
    }

    private static byte[] chunks(byte[] body, int longest) {
        ByteArrayOutputStream chunks = new ByteArrayOutputStream(body.length + 32);
        for (int at = 0; at < body.length; at += longest) {
            int length = Math.min(longest, body.length - at);
            chunks.writeBytes(ascii(Integer.toHexString(length) + "\r\n"));
            chunks.write(body, at, length);
            chunks.writeBytes(ascii("\r\n"));
        }
        return chunks.toByteArray();
    }

    private static byte[] head(int status, String headers) {
        String reason = switch (status) {
            case 200 -> "OK";
            case 400 -> "Bad Request";
            case 401 -> "Unauthorized";
            case 403 -> "Forbidden";
            case 404 -> "Not Found";
            case 405 -> "Method Not Allowed";
            case 410 -> "Gone";
            case 422 -> "Unprocessable Entity";
            case 429 -> "Too Many Requests";
            case 500 -> "Internal Server Error";
            case 503 -> "Service Unavailable";
            case 504 -> "Gateway Timeout";
            default -> "Unknown";
        };
        return ascii("HTTP/1.1 " + status + ' ' + reason + "\r\nCache-Control: no-cache, private\r\n"
                + "Content-Type: application/json\r\n" + headers + "\r\n");
    }
}
