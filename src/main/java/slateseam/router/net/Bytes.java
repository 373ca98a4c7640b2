package slateseam.router.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Bytes and the text that the protocols' heads are made of, one byte a character. */
public final class Bytes {
    private Bytes() {
    }

    /** The bytes of a text. */
    public static byte[] of(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** The text of a slice, which is left as it was. */
    public static String text(ByteBuffer slice) {
        return StandardCharsets.ISO_8859_1.decode(slice.duplicate()).toString();
    }

    /** A copy of a slice, which is left as it was. */
    public static byte[] copy(ByteBuffer slice) {
        byte[] bytes = new byte[slice.remaining()];
        slice.duplicate().get(bytes);
        return bytes;
    }
}
