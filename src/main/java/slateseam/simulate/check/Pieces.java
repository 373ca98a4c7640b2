package slateseam.simulate.check;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;

/**
 * The bytes of one direction of a wire that have come and belong to no whole message yet, with the times at which
 * they came.
 */
final class Pieces {
    private static final int FIRST = 256;
    private static final byte[] NONE = {};

    private record Mark(long end, long nanos) {}

    private byte[] bytes = NONE;
    private int start;
    private int end;
    /** Of all that were ever taken off. */
    private long consumed;

    private final Deque<Mark> marks = new ArrayDeque<>();

    void add(byte[] more, long now) {
        if (end + more.length > bytes.length) {
            byte[] room = end - start + more.length > bytes.length
                    ? new byte[Math.max(FIRST, Math.max(2 * bytes.length, end - start + more.length))]
                    : bytes;
            System.arraycopy(bytes, start, room, 0, end - start);
            bytes = room;
            end -= start;
            start = 0;
        }
        System.arraycopy(more, 0, bytes, end, more.length);
        end += more.length;
        marks.add(new Mark(consumed + size(), now));
    }

    int size() {
        return end - start;
    }

    byte at(int index) {
        return bytes[start + index];
    }

    /** Where the line that begins at an index ends, its CR; -1 while the line is not whole. */
    int lineEnd(int from) {
        for (int i = from; i + 1 < size(); i++) {
            if (at(i) == '\r' && at(i + 1) == '\n') {
                return i;
            }
        }
        return -1;
    }

    String text(int from, int to) {
        return new String(bytes, start + from, to - from, StandardCharsets.ISO_8859_1);
    }

    byte[] copy(int from, int to) {
        return Arrays.copyOfRange(bytes, start + from, start + to);
    }

    /** When the first byte came that is still here. */
    long firstNanos() {
        return marks.isEmpty() ? 0 : marks.peek().nanos;
    }

    /** The place in the stream of the first byte that is still here. */
    long consumed() {
        return consumed;
    }

    void consume(int count) {
        start += count;
        consumed += count;
        while (!marks.isEmpty() && marks.peek().end <= consumed) {
            marks.poll();
        }
        if (start == end) {
            start = 0;
            end = 0;
        }
    }

    void clear() {
        consume(size());
    }
}
