package slateseam.standin.useragent;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Commands of user agents as bytes. */
final class Command {
    /**
     * Line ends, and letters of two, three and four bytes: what a router must not trip over when it comes in pieces.
     */
    private static final byte[] TEXT = bytes("core \u00e4\u00f6 \u2192 log\r\n$12\r\n\ud83d\udccf -ERR *3\r\n");

    private Command() {}

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** An array of bulk strings. */
    static byte[] of(byte[]... words) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(128);
        out.writeBytes(bytes("*" + words.length + "\r\n"));
        for (byte[] word : words) {
            out.writeBytes(bytes("$" + word.length + "\r\n"));
            out.writeBytes(word);
            out.writeBytes(bytes("\r\n"));
        }
        return out.toByteArray();
    }

    /** A read. */
    static byte[] get(String key, String id, String facts) {
        return bytes("*4\r\n$9\r\nCACHE.GET\r\n" + bulk(key) + bulk(id) + bulk(facts));
    }

    /** A write. */
    static byte[] set(String key, String id, String facts, byte[] value) {
        return of(bytes("CACHE.SET"), bytes(key), bytes(id), bytes(facts), value);
    }

    /** Only for visible ASCII. */
    private static String bulk(String word) {
        return "$" + word.length() + "\r\n" + word + "\r\n";
    }

    /** A value of a length that begins with a word, as far as there is room. */
    static byte[] value(String word, int length) {
        byte[] value = new byte[length];
        byte[] begin = bytes(word);
        for (int i = 0; i < length; i++) {
            value[i] = i < begin.length ? begin[i] : TEXT[(i - begin.length) % TEXT.length];
        }
        return value;
    }
}
