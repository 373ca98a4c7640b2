package slateseam.router.net;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** RESP2, read in place: what is returned looks into the buffer that was read. */
public final class Resp {
    /** The type of what could not be read. */
    public static final char UNREADABLE = '?';
    /** Of an array; so long that no list of servers or routers is longer. */
    private static final int MOST_ITEMS = 1_024;
    /** Room for the items of an usual array; of others it grows with what has come, and not with what a length tells. */
    private static final int USUAL_ITEMS = 8;

    private static final int DEEPEST = 3;
    private static final int LONGEST_LINE = 1024;

    /**
     * A value.
     *
     * @param type the byte that it began with
     * @param bytes the text of a line or a bulk string; null for null, and for arrays
     * @param items the items of an array, else empty
     */
    public record Value(char type, ByteBuffer bytes, List<Value> items) {
        /** Whether this is a bulk string that is not null. */
        public boolean isBulk() {
            return type == '$' && bytes != null;
        }

        /** The text; empty where there is none. */
        public String text() {
            return bytes == null ? "" : Bytes.text(bytes);
        }
    }

    private Resp() {}

    /**
     * Reads a command, an array of bulk strings, and moves the buffer past it.
     *
     * @return null, with the buffer as it was, while it is not whole
     */
    public static List<ByteBuffer> command(ByteBuffer in) throws MalformedException {
        int start = in.position();
        if (start < in.limit() && in.get(start) != '*') {
            throw new MalformedException("a command must be an array");
        }
        Value array = reply(in);
        if (array == null) {
            return null;
        }
        if (array.items.isEmpty()) {
            throw new MalformedException("a command must hold bulk strings");
        }
        List<ByteBuffer> command = new ArrayList<>(array.items.size());
        for (Value item : array.items) {
            if (!item.isBulk()) {
                throw new MalformedException("a command must hold bulk strings");
            }
            command.add(item.bytes);
        }
        return command;
    }

    /**
     * Reads any value and moves the buffer past it.
     *
     * @return null, with the buffer as it was, while it is not whole
     */
    public static Value reply(ByteBuffer in) throws MalformedException {
        return reply(in, MOST_ITEMS);
    }

    /**
     * The same, but that of an array only so many items must be readable. If one behind them is not, the buffer is moved
     * to its end, as nobody can tell where the value ends, and that item has the type {@link #UNREADABLE}.
     */
    public static Value reply(ByteBuffer in, int needed) throws MalformedException {
        int start = in.position();
        Value value = value(in, DEEPEST, needed);
        if (value == null) {
            in.position(start);
        }
        return value;
    }

    /**
     * Reads the length in a line that begins with this type and moves the buffer past it; -1, with the buffer as it was, if
     * the line is of another type or not whole.
     */
    public static int head(ByteBuffer in, char type) throws MalformedException {
        int start = in.position();
        if (start >= in.limit() || in.get(start) != type) {
            return -1;
        }
        int end = lineEnd(in, LONGEST_LINE);
        if (end < 0) {
            return -1;
        }
        in.position(end + 2);
        return number(in, start + 1, end, type == '*' ? MOST_ITEMS : Connection.VALUE_LIMIT);
    }

    /** Passes the end of a bulk string and so many values behind it; false, with the buffer as it was, while not whole. */
    public static boolean passEnd(ByteBuffer in, int values) throws MalformedException {
        int start = in.position();
        boolean whole = in.remaining() >= 2;
        if (whole && (in.get() != '\r' || in.get() != '\n')) {
            throw new MalformedException("a bulk string does not end where it should");
        }
        for (int i = 0; whole && i < values; i++) {
            whole = value(in, DEEPEST - 1, MOST_ITEMS) != null;
        }
        if (!whole) {
            in.position(start);
        }
        return whole;
    }

    private static Value value(ByteBuffer in, int depth, int needed) throws MalformedException {
        int start = in.position();
        int end = lineEnd(in, LONGEST_LINE);
        if (end < 0) {
            return null;
        }
        if (end == start) {
            throw new MalformedException("an empty line");
        }
        char type = (char) in.get(start);
        in.position(end + 2);
        return switch (type) {
            case '+', '-', ':' -> new Value(type, in.slice(start + 1, end - start - 1), List.of());
            case '$' -> bulk(in, number(in, start + 1, end, Connection.VALUE_LIMIT));
            case '*' -> array(in, number(in, start + 1, end, MOST_ITEMS), depth, needed);
            default -> throw new MalformedException("unknown type " + (int) type);
        };
    }

    private static Value bulk(ByteBuffer in, int length) throws MalformedException {
        if (length < 0) {
            return new Value('$', null, List.of());
        }
        if (in.remaining() < length + 2) {
            return null;
        }
        ByteBuffer bytes = in.slice(in.position(), length);
        in.position(in.position() + length);
        if (in.get() != '\r' || in.get() != '\n') {
            throw new MalformedException("a bulk string does not end where it should");
        }
        return new Value('$', bytes, List.of());
    }

    private static Value array(ByteBuffer in, int length, int depth, int needed) throws MalformedException {
        if (depth == 0) {
            throw new MalformedException("arrays nested too deep");
        }
        List<Value> items = new ArrayList<>(Math.max(0, Math.min(USUAL_ITEMS, length)));
        for (int i = 0; i < length; i++) {
            try {
                Value item = value(in, depth - 1, MOST_ITEMS);
                if (item == null) {
                    return null;
                }
                items.add(item);
            } catch (MalformedException e) {
                if (i < needed) {
                    throw e;
                }
                items.add(new Value(UNREADABLE, null, List.of()));
                in.position(in.limit());
                break;
            }
        }
        return new Value('*', null, items);
    }

    /** The length that a part of the buffer tells, from -1 to the limit. */
    private static int number(ByteBuffer in, int from, int to, int limit) throws MalformedException {
        boolean negative = from < to && in.get(from) == '-';
        int first = negative ? from + 1 : from;
        int number = first < to ? 0 : limit + 1;
        for (int i = first; i < to && number <= limit; i++) {
            byte b = in.get(i);
            number = b >= '0' && b <= '9' ? 10 * number + b - '0' : limit + 1;
        }
        if (number > limit || negative && number != 1) {
            throw new MalformedException("a length is no number from -1 to " + limit);
        }
        return negative ? -1 : number;
    }

    /** The text up to the next CRLF, which is passed; null while that has not come. */
    static ByteBuffer line(ByteBuffer in, int longest) throws MalformedException {
        int start = in.position();
        int end = lineEnd(in, longest);
        if (end < 0) {
            return null;
        }
        in.position(end + 2);
        return in.slice(start, end - start);
    }

    /** Where the next CRLF is; -1 while it has not come. */
    private static int lineEnd(ByteBuffer in, int longest) throws MalformedException {
        int last = in.limit() - 1;
        for (int i = in.position(); i < last; i++) {
            if (in.get(i) == '\r' && in.get(i + 1) == '\n') {
                return i;
            }
        }
        if (in.remaining() > longest) {
            throw new MalformedException("a line is longer than " + longest + " bytes");
        }
        return -1;
    }
}
