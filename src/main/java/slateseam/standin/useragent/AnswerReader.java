package slateseam.standin.useragent;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Reads the answers of one connection, in whatever pieces they come. Values of over 1 MiB cannot be read. */
final class AnswerReader {
    private static final int LONGEST_LINE = 1024;
    private static final int LONGEST_VALUE = 1024 * 1024;
    private static final int MOST_ITEMS = 64;
    private static final int DEEPEST = 4;
    private static final byte[] NOTHING = new byte[0];
    private static final long MILLI = 1_000_000L;
    /** Not whole yet. */
    private static final int SHORT = -1;

    private static final int UNREADABLE = -2;

    private byte[] buffer = NOTHING;
    private int size;
    /** As long as so many bytes are not there, the answer is not whole. */
    private int needed;

    private boolean lost;

    /**
     * Takes the next bytes and returns the answers that they make whole; nothing more behind one that is unreadable.
     */
    List<Answer> take(byte[] bytes) {
        if (lost) {
            return List.of();
        }
        if (size + bytes.length > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(size + bytes.length, Math.min(needed, LONGEST_VALUE)));
        }
        System.arraycopy(bytes, 0, buffer, size, bytes.length);
        size += bytes.length;
        List<Answer> answers = new ArrayList<>(1);
        while (size > 0 && size >= needed) {
            needed = 0;
            int end = end(0, DEEPEST);
            if (end == SHORT) {
                break;
            }
            if (end == UNREADABLE) {
                lost = true;
                answers.add(new Answer(Answer.Kind.UNREADABLE, 0, NOTHING));
                break;
            }
            answers.add(answer(end));
            System.arraycopy(buffer, end, buffer, 0, size - end);
            size -= end;
        }
        return answers;
    }

    /** Whether a part of an answer has come and the rest has not. */
    boolean isHalf() {
        return size > 0;
    }

    private Answer answer(int end) {
        int line = line(0);
        switch (buffer[0]) {
            case '$':
                return number(0, line) < 0 ? failed() : value(line + 2, end);
            case '*':
                boolean bulk = number(0, line) > 0 && buffer[line + 2] == '$' && number(line + 2, line(line + 2)) >= 0;
                if (!bulk) {
                    return failed();
                }
                int from = line(line + 2);
                return new Answer(
                        Answer.Kind.SERVED,
                        0,
                        Arrays.copyOfRange(buffer, from + 2, from + 2 + (int) number(line + 2, from)));
            case '-':
                String text = new String(buffer, 1, line - 1, StandardCharsets.ISO_8859_1);
                if (!text.equals("BUSY") && !text.startsWith("BUSY ")) {
                    return failed();
                }
                String digits = text.substring(4).strip();
                return new Answer(
                        Answer.Kind.UNAVAILABLE,
                        digits.matches("[0-9]{1,9}") ? Long.parseLong(digits) * MILLI : 0,
                        NOTHING);
            default:
                return failed();
        }
    }

    private static Answer failed() {
        return new Answer(Answer.Kind.FAILED, 0, NOTHING);
    }

    private Answer value(int from, int end) {
        return new Answer(Answer.Kind.SERVED, 0, Arrays.copyOfRange(buffer, from, end - 2));
    }

    /** Where the answer that begins here ends. */
    private int end(int from, int depth) {
        if (from >= size) {
            return SHORT;
        }
        int line = line(from);
        if (line < 0) {
            return size - from > LONGEST_LINE ? UNREADABLE : SHORT;
        }
        switch (buffer[from]) {
            case '+', '-', ':':
                return line + 2;
            case '$':
                long length = number(from, line);
                if (length < -1 || length > LONGEST_VALUE) {
                    return UNREADABLE;
                }
                int end = length < 0 ? line + 2 : line + 4 + (int) length;
                if (end > size) {
                    needed = end;
                    return SHORT;
                }
                return length < 0 || buffer[end - 2] == '\r' && buffer[end - 1] == '\n' ? end : UNREADABLE;
            case '*':
                long items = number(from, line);
                if (items < -1 || items > MOST_ITEMS || depth == 0) {
                    return UNREADABLE;
                }
                int at = line + 2;
                for (long i = 0; i < items && at >= 0; i++) {
                    at = end(at, depth - 1);
                }
                return at;
            default:
                return UNREADABLE;
        }
    }

    /** Where the line that begins here ends, at its CR; -1 if that is not there. */
    private int line(int from) {
        int last = Math.min(size - 1, from + LONGEST_LINE);
        for (int i = from; i < last; i++) {
            if (buffer[i] == '\r' && buffer[i + 1] == '\n') {
                return i;
            }
        }
        return -1;
    }

    /** The number behind the first byte of a line; -2 if there is none. */
    private long number(int from, int line) {
        String digits = new String(buffer, from + 1, line - from - 1, StandardCharsets.ISO_8859_1);
        return digits.matches("-1|[0-9]{1,9}") ? Long.parseLong(digits) : -2;
    }
}
