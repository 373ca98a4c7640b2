package slateseam.router.control;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

/**
 * The head of a call, read in place.
 *
 * @param fault the status that answers a head which cannot be read; 0 for a good one
 */
record Call(String method, String path, int fault) {
    /** Of a whole head. */
    static final int MOST_BYTES = 4 * 1024;

    private static final Pattern REQUEST = Pattern.compile("([A-Z]{1,16}) (/[!-~]*) HTTP/1\\.[01]");
    private static final Pattern HEADER = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+:[ -~\\t\\x80-\\xff]*");
    private static final int BAD_REQUEST = 400;
    private static final int HEAD_TOO_LARGE = 431;

    /** Reads a head; null while it is not whole. What lies behind it, a body or more calls, is not looked at. */
    static Call read(ByteBuffer in) {
        int end = -1;
        int most = Math.min(in.limit(), in.position() + MOST_BYTES);
        for (int i = in.position(); end < 0 && i + 3 < most; i++) {
            if (in.get(i) == '\r' && in.get(i + 1) == '\n' && in.get(i + 2) == '\r' && in.get(i + 3) == '\n') {
                end = i;
            }
        }
        if (end < 0) {
            boolean badStart = in.hasRemaining() && !Character.isUpperCase(in.get(in.position()));
            return badStart ? bad(BAD_REQUEST) : in.remaining() >= MOST_BYTES ? bad(HEAD_TOO_LARGE) : null;
        }
        byte[] head = new byte[end - in.position()];
        in.get(head);
        String[] lines = new String(head, StandardCharsets.ISO_8859_1).split("\r\n", -1);
        var first = REQUEST.matcher(lines[0]);
        boolean good = first.matches();
        for (int i = 1; good && i < lines.length; i++) {
            good = HEADER.matcher(lines[i]).matches();
        }
        return good ? new Call(first.group(1), first.group(2).split("\\?", 2)[0], 0) : bad(BAD_REQUEST);
    }

    /** One that did not come whole in time. */
    static Call late() {
        return bad(BAD_REQUEST);
    }

    private static Call bad(int status) {
        return new Call("", "", status);
    }
}
