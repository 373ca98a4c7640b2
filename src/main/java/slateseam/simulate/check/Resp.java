package slateseam.simulate.check;

import java.util.ArrayList;
import java.util.List;

/**
 * One value of RESP2.
 *
 * @param type its first byte
 * @param text of a line, or of a length as it stood
 * @param bytes of a bulk string; null for one that is null, and for every other type
 * @param items of an array; empty for one that is null
 */
record Resp(char type, String text, byte[] bytes, List<Resp> items) {
    private static final int LONGEST_LINE = 1000;
    private static final int LONGEST = 16 * 1024 * 1024;
    private static final int DEEPEST = 8;

    /** Takes the next value; null while it is not whole, and nothing is taken. */
    static Resp read(Pieces in) throws Garbled {
        int[] at = {0};
        Resp value = read(in, at, 0);
        if (value != null) {
            in.consume(at[0]);
        }
        return value;
    }

    private static Resp read(Pieces in, int[] at, int depth) throws Garbled {
        int from = at[0];
        if (from >= in.size()) {
            return null;
        }
        char type = (char) in.at(from);
        if ("+-:$*".indexOf(type) < 0 || depth > DEEPEST) {
            throw new Garbled("no value begins with byte " + (int) type);
        }
        int end = in.lineEnd(from);
        if (end < 0) {
            if (in.size() - from > LONGEST_LINE) {
                throw new Garbled("a line does not end");
            }
            return null;
        }
        String text = in.text(from + 1, end);
        at[0] = end + 2;
        if (type != '$' && type != '*') {
            return new Resp(type, text, null, List.of());
        }
        int length = length(text);
        if (type == '$') {
            return bulk(in, at, text, length);
        }
        List<Resp> items = new ArrayList<>();
        for (int i = 0; i < length; i++) {
            Resp item = read(in, at, depth + 1);
            if (item == null) {
                return null;
            }
            items.add(item);
        }
        return new Resp(type, text, null, items);
    }

    private static Resp bulk(Pieces in, int[] at, String text, int length) throws Garbled {
        if (length < 0) {
            return new Resp('$', text, null, List.of());
        }
        int end = at[0] + length;
        if (end + 2 > in.size()) {
            return null;
        }
        if (in.at(end) != '\r' || in.at(end + 1) != '\n') {
            throw new Garbled("a bulk string does not end where it should");
        }
        byte[] bytes = in.copy(at[0], end);
        at[0] = end + 2;
        return new Resp('$', text, bytes, List.of());
    }

    private static int length(String text) throws Garbled {
        try {
            int length = Integer.parseInt(text);
            if (length >= -1 && length <= LONGEST) {
                return length;
            }
        } catch (NumberFormatException e) {
            // reported below
        }
        throw new Garbled("a length is " + text);
    }

    /** The texts of a command's bulk strings; null if it is no array of them. */
    List<String> command() {
        if (type != '*' || items.isEmpty()) {
            return null;
        }
        List<String> words = new ArrayList<>();
        for (Resp item : items) {
            if (item.bytes == null) {
                return null;
            }
            words.add(new String(item.bytes, java.nio.charset.StandardCharsets.ISO_8859_1));
        }
        return words;
    }
}
