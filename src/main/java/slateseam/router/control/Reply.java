package slateseam.router.control;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * What a call is answered.
 *
 * @param status an HTTP status
 * @param allow the methods that the path takes, for 405; else null
 */
public record Reply(int status, String type, String body, String allow) {
    private static final String TEXT = "text/plain";

    /** Yes. */
    public static Reply yes(String text) {
        return new Reply(200, TEXT, text + "\n", null);
    }

    /** No, for now. */
    public static Reply no(String text) {
        return new Reply(503, TEXT, text + "\n", null);
    }

    /** An object of JSON. */
    public static Reply json(String json) {
        return new Reply(200, "application/json", json + "\n", null);
    }

    /** The call itself cannot be used. */
    static Reply fault(int status, String allow) {
        return new Reply(status, TEXT, reason(status) + "\n", allow);
    }

    private static String reason(int status) {
        return switch (status) {
            case 200 -> "OK";
            case 400 -> "Bad Request";
            case 404 -> "Not Found";
            case 405 -> "Method Not Allowed";
            case 431 -> "Request Header Fields Too Large";
            default -> "Service Unavailable";
        };
    }

    ByteBuffer bytes() {
        byte[] content = body.getBytes(StandardCharsets.UTF_8);
        byte[] head = ("HTTP/1.1 " + status + " " + reason(status) + "\r\nContent-Type: " + type
                        + "\r\nContent-Length: " + content.length + (allow == null ? "" : "\r\nAllow: " + allow)
                        + "\r\nConnection: close\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
        return ByteBuffer.allocate(head.length + content.length)
                .put(head)
                .put(content)
                .flip();
    }
}
