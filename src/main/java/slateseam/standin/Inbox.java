package slateseam.standin;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Bytes that came and are not read yet. Its bound is the readers': they take or refuse before it grows. */
public final class Inbox {
    private byte[] bytes = new byte[512];
    private int start;
    private int end;
    /** Up to here no line's end was found. */
    private int searched;

    int size() {
        return end - start;
    }

    void add(byte[] more) {
        if (end + more.length > bytes.length) {
            int held = size();
            byte[] room = held + more.length > bytes.length ? new byte[2 * (held + more.length)] : bytes;
            System.arraycopy(bytes, start, room, 0, held);
            bytes = room;
            searched -= start;
            start = 0;
            end = held;
        }
        System.arraycopy(more, 0, bytes, end, more.length);
        end += more.length;
    }

    /** The text up to the next CRLF, which is passed; null while that has not come. */
    String line(int longest) throws UnreadableException {
        for (int i = Math.max(start, searched); i + 1 < end; i++) {
            if (bytes[i] == '\r' && bytes[i + 1] == '\n') {
                String line = new String(bytes, start, i - start, StandardCharsets.ISO_8859_1);
                moveTo(i + 2);
                return line;
            }
        }
        searched = Math.max(start, end - 1);
        if (size() > longest) {
            throw new UnreadableException("a line is longer than " + longest + " bytes");
        }
        return null;
    }

    /** So many bytes, which are passed; null while they have not come. */
    byte[] take(int count) {
        if (size() < count) {
            return null;
        }
        byte[] taken = Arrays.copyOfRange(bytes, start, start + count);
        moveTo(start + count);
        return taken;
    }

    private void moveTo(int place) {
        start = place;
        searched = place;
        if (start == end) {
            start = 0;
            end = 0;
            searched = 0;
        }
    }
}
