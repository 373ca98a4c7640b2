package slateseam.router.kubernetes;

import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.json.JSONException;
import org.json.JSONObject;
import org.json.JSONTokener;

/** The bytes of one JSON text while they come, up to a bound; beyond it they are left out and it is remembered. */
final class KeptText {
    private static final int FIRST = 4 * 1024;
    private static final int MOST_IDLE = 64 * 1024;

    private final int longest;
    private byte[] bytes = new byte[FIRST];
    private int length;
    private boolean tooLong;

    KeptText(int longest) {
        this.longest = longest;
    }

    void append(byte b) {
        if (length == longest) {
            tooLong = true;
            return;
        }
        if (length == bytes.length) {
            bytes = Arrays.copyOf(bytes, 2 * length);
        }
        bytes[length++] = b;
    }

    void append(byte[] from, int start, int count) {
        tooLong |= count > longest - length;
        int taken = Math.min(count, longest - length);
        if (length + taken > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(2 * bytes.length, length + taken));
        }
        System.arraycopy(from, start, bytes, length, taken);
        length += taken;
    }

    boolean isTooLong() {
        return tooLong;
    }

    /** Begins anew. Guards against one long object's room being held for ever. */
    void clear() {
        if (bytes.length > MOST_IDLE) {
            bytes = new byte[FIRST];
        }
        length = 0;
        tooLong = false;
    }

    /** How it begins. */
    String begin(int most) {
        return new String(bytes, 0, Math.min(most, length), StandardCharsets.UTF_8);
    }

    /** @throws JSONException if it is no JSON object */
    JSONObject json() {
        return new JSONObject(new JSONTokener(new Chars(begin(length))));
    }

    /** A reader without a lock: the parser asks for each character, and a lock each time is half of its work. */
    private static final class Chars extends Reader {
        private final String text;
        private int at;
        private int marked;

        Chars(String text) {
            this.text = text;
        }

        @Override
        public int read() {
            return at < text.length() ? text.charAt(at++) : -1;
        }

        @Override
        public int read(char[] to, int start, int count) {
            int taken = Math.min(count, text.length() - at);
            text.getChars(at, at + taken, to, start);
            at += taken;
            return taken == 0 && count > 0 ? -1 : taken;
        }

        @Override
        public boolean markSupported() {
            return true;
        }

        @Override
        public void mark(int most) {
            marked = at;
        }

        @Override
        public void reset() {
            at = marked;
        }

        @Override
        public void close() {
            // Nothing is held.
        }
    }
}
