package slateseam.standin;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/**
 * The versions of what keys stand for, and the values that servers make of them. A value names key, version and the id
 * that it was made for, and is filled up to the key's size with text that looks like a protocol's lines, so that a
 * parser that loses its place shows.
 */
public final class Archive {
    private static final byte[] FILLER = ("\r\n$3\r\nh\u00e9\r\n*2\r\n$-1\r\n-BUSY 7\r\n:1\r\n"
                    + "HTTP/1.1 200 OK\r\n\r\n\u20ac")
            .getBytes(StandardCharsets.UTF_8);
    private static final int PLACES = 4;

    private final ValueFigures figures;
    private final long salt;
    /** Of keys that were written in this run; only looked up. */
    private final Map<String, Long> written = new HashMap<>();

    /**
     * Creates an archive in which each key stands at version 1; the salt decides on sizes and on the work of
     * requests.
     */
    public Archive(ValueFigures figures, long salt) {
        this.figures = figures;
        this.salt = salt;
    }

    long salt() {
        return salt;
    }

    /** The present version of a key. */
    public long version(String key) {
        return written.getOrDefault(key, 1L);
    }

    /** A write to a key has been carried out; returns its new version. */
    long write(String key) {
        return written.merge(key, 2L, (old, two) -> old + 1);
    }

    /** The size of a key's values in bytes; those that must name more are longer. */
    public int size(String key) {
        double size = figures.medianBytes() * StrictMath.exp(figures.sigma() * Draws.normal(Draws.hash(salt, key)));
        return (int) Math.max(1, Math.min(figures.mostBytes(), size));
    }

    /** The value of a key at a version, made for a request. */
    byte[] value(String key, long version, String id) {
        byte[] head = text("value " + key + ' ' + version + ' ' + id + ' ');
        byte[] value = new byte[Math.max(head.length, size(key))];
        System.arraycopy(head, 0, value, 0, head.length);
        for (int i = head.length; i < value.length; i += FILLER.length) {
            System.arraycopy(FILLER, 0, value, i, Math.min(FILLER.length, value.length - i));
        }
        return value;
    }

    /** The receipt of a write. */
    byte[] receipt(String key, long version, String id) {
        return text("receipt " + key + ' ' + version + ' ' + id + ' ');
    }

    /** The id that a value or receipt was made for; null if it is neither. */
    public static String madeFor(byte[] value) {
        String[] words = new String(value, 0, Math.min(value.length, 2_048), StandardCharsets.ISO_8859_1).split(" ", 5);
        boolean ours = words.length > PLACES && (words[0].equals("value") || words[0].equals("receipt"));
        return ours ? words[3] : null;
    }

    private static byte[] text(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
