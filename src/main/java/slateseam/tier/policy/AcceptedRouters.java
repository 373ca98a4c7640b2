package slateseam.tier.policy;

import java.nio.ByteBuffer;
import java.util.BitSet;

/**
 * The routers that take a version, and how a datagram tells of them. Up to {@link #MOST_AS_BITS} routers it is a bit for each. Beyond
 * that it is a block of a fixed length, which is longer than any such bits and told by that. Where few ranges of router numbers hold
 * all, the block is these, unused ones empty. Else it is a bit for each router of a window, and each message tells of
 * the next window. A message may so tell of fewer routers than have accepted, and never of one that has not.
 */
final class AcceptedRouters {
    /** As many routers as are told as a bit each. */
    static final int MOST_AS_BITS = 1_024;

    static final int MOST_BIT_BYTES = MOST_AS_BITS / Byte.SIZE;
    /** A first router and how many there are from it on. */
    private static final int RANGE_BYTES = 2 * Short.BYTES;
    /** The fewest that are longer than all bits, as the cause of a refusal shares the datagram. */
    private static final int RANGES = MOST_BIT_BYTES / RANGE_BYTES + 1;

    private static final int BLOCK_BYTES = RANGES * RANGE_BYTES;
    /** In place of a range's first router: bits of a window follow, behind the number of the window. */
    private static final short WINDOW_MARK = -1;

    private static final int WINDOW_BYTES = BLOCK_BYTES - RANGE_BYTES;
    private static final int WINDOW_ROUTERS = WINDOW_BYTES * Byte.SIZE;

    private final BitSet routers = new BitSet();
    /** The window that the next message tells of, where it tells of one. */
    private int window;

    void clear() {
        routers.clear();
        window = 0;
    }

    void add(int router) {
        routers.set(router);
    }

    boolean contains(int router) {
        return routers.get(router);
    }

    /** What the next message tells. */
    byte[] encode() {
        if (routers.length() <= MOST_AS_BITS) {
            return routers.toByteArray();
        }
        byte[] ranges = encodeRanges();
        return ranges == null ? encodeWindow() : ranges;
    }

    /** All as ranges; null if they do not fit. */
    private byte[] encodeRanges() {
        ByteBuffer out = ByteBuffer.allocate(BLOCK_BYTES);
        int next = 0;
        for (int first = routers.nextSetBit(0); first >= 0; first = routers.nextSetBit(next)) {
            if (!out.hasRemaining()) {
                return null;
            }
            next = Math.min(routers.nextClearBit(first), first + Short.MAX_VALUE);
            out.putShort((short) first).putShort((short) (next - first));
        }
        return out.array();
    }

    private byte[] encodeWindow() {
        int first = window * WINDOW_ROUTERS;
        byte[] bits = routers.get(first, first + WINDOW_ROUTERS).toByteArray();
        byte[] block = ByteBuffer.allocate(BLOCK_BYTES)
                .putShort(WINDOW_MARK)
                .putShort((short) window)
                .put(bits)
                .array();
        window = first + WINDOW_ROUTERS < routers.length() ? window + 1 : 0;
        return block;
    }

    /** Adds those of whom a message tells. */
    void addAll(byte[] told) {
        if (told.length <= MOST_BIT_BYTES) {
            routers.or(BitSet.valueOf(told));
            return;
        }
        ByteBuffer in = ByteBuffer.wrap(told);
        if (in.getShort(0) == WINDOW_MARK) {
            addWindow(in.position(Short.BYTES));
            return;
        }
        while (in.remaining() >= RANGE_BYTES) {
            int first = in.getShort();
            int count = in.getShort();
            if (first >= 0 && count > 0) {
                routers.set(first, first + count);
            }
        }
    }

    private void addWindow(ByteBuffer in) {
        int first = in.getShort() * WINDOW_ROUTERS;
        if (first >= 0) {
            BitSet.valueOf(in).stream().forEach(router -> routers.set(first + router));
        }
    }
}
