package slateseam.router.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Bytes and the text that the protocols' heads are made of, one byte a character. */
public final class Bytes {
    private static final int MOST_DIGITS = 9;
    private static final int DELETE = 0x7f;

    private Bytes() {}

    /** A whole number of one to nine decimal digits, with no sign; -1 if the text is none. */
    public static int number(String text) {
        boolean number = !text.isEmpty() && text.length() <= MOST_DIGITS;
        for (int i = 0; number && i < text.length(); i++) {
            number = text.charAt(i) >= '0' && text.charAt(i) <= '9';
        }
        return number ? Integer.parseInt(text) : -1;
    }

    /** Puts the decimal digits of a number, which is not below 0, into a buffer that has room for them. */
    public static ByteBuffer putNumber(ByteBuffer to, int number) {
        if (number > 9) {
            putNumber(to, number / 10);
        }
        return to.put((byte) ('0' + number % 10));
    }

    /** Whether a byte or a character is visible ASCII, which white space is not. */
    public static boolean isVisible(int c) {
        return c > ' ' && c < DELETE;
    }

    /** The bytes of a text. */
    public static byte[] of(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** The text of a slice, which is left as it was. */
    public static String text(ByteBuffer slice) {
        return new String(copy(slice), StandardCharsets.ISO_8859_1);
    }

    /** A copy of a slice, which is left as it was. */
    public static byte[] copy(ByteBuffer slice) {
        byte[] bytes = new byte[slice.remaining()];
        slice.get(slice.position(), bytes);
        return bytes;
    }
}
