package slateseam.router.kubernetes;

import java.nio.ByteBuffer;
import slateseam.router.net.HttpHead;
import slateseam.router.net.MalformedException;

/**
 * Reads the body of an answer as it comes, in chunks or of a told length, cut wherever it may be. Keeps nothing of it.
 */
final class Body {
    /** Of all lines of a trailer. */
    private static final int TRAILER_BYTES = 8 * 1024;

    private static final int MOST_DIGITS = 15;

    private enum Part {
        LINE,
        DATA,
        LINE_END,
        TRAILER,
        OVER
    }

    private final boolean chunked;
    private final StringBuilder line = new StringBuilder();
    private Part part;
    private long left;
    private int trailer;

    /** @throws MalformedException if the head tells no end of the body, or two */
    Body(HttpHead head) throws MalformedException {
        chunked = head.isChunked();
        if (chunked == (head.length() != null)) {
            throw new MalformedException("an answer without a length, or with two");
        }
        part = chunked ? Part.LINE : Part.DATA;
        if (!chunked) {
            begin(head.length(), 10);
        }
    }

    private void begin(String digits, int radix) throws MalformedException {
        // A long takes so many digits of either radix.
        if (!digits.matches("[0-9a-fA-F]{1," + MOST_DIGITS + "}") || radix == 10 && !digits.matches("[0-9]+")) {
            throw new MalformedException("a length is no number");
        }
        left = Long.parseLong(digits, radix);
        part = left > 0 ? Part.DATA : chunked ? Part.TRAILER : Part.OVER;
    }

    /** Whether all of it has come. */
    boolean isOver() {
        return part == Part.OVER;
    }

    /**
     * The next bytes of the body, as a part of the buffer, which is moved past them.
     *
     * @return null if none have come, or it is over
     */
    ByteBuffer next(ByteBuffer in) throws MalformedException {
        while (in.hasRemaining() && part != Part.OVER) {
            if (part == Part.DATA) {
                int length = (int) Math.min(left, in.remaining());
                ByteBuffer bytes = in.slice(in.position(), length);
                in.position(in.position() + length);
                left -= length;
                if (left == 0) {
                    part = chunked ? Part.LINE_END : Part.OVER;
                }
                return bytes;
            }
            take((char) (in.get() & 0xff));
        }
        return null;
    }

    private void take(char c) throws MalformedException {
        if (c != '\n') {
            line.append(c);
            if (line.length() > HttpHead.LONGEST_LINE) {
                throw new MalformedException("the head of a chunk is too long");
            }
            return;
        }
        if (line.length() == 0 || line.charAt(line.length() - 1) != '\r') {
            throw new MalformedException("a line of a chunk does not end where it should");
        }
        String text = line.substring(0, line.length() - 1);
        line.setLength(0);
        trailer += text.length();
        switch (part) {
            case LINE -> begin(text.split(";", 2)[0].trim(), 16);
            case LINE_END -> {
                if (!text.isEmpty()) {
                    throw new MalformedException("a chunk does not end where it should");
                }
                part = Part.LINE;
                trailer = 0;
            }
            default -> {
                if (trailer > TRAILER_BYTES) {
                    throw new MalformedException("the trailer is too long");
                }
                part = text.isEmpty() ? Part.OVER : Part.TRAILER;
            }
        }
    }
}
