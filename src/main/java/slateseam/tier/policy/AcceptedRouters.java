package slateseam.tier.policy;

import java.nio.ByteBuffer;
import java.util.BitSet;

/**
 * The set of routers that have accepted a version, and its encoding in a datagram.
 *
 * <p>If all router numbers are below {@link #MAX_BITMAP_ROUTERS}, the encoding is a bitmap. Otherwise it is a block
 * of fixed length, which a reader recognises because it is longer than any such bitmap. The block holds the set as
 * ranges of router numbers, with unused ranges left empty, if few enough ranges cover the set. If not, the block is a
 * bitmap of one window of router numbers, and successive messages carry successive windows. A message may therefore
 * list fewer routers than have accepted, but never one that has not.
 */
final class AcceptedRouters {
    /** Number of routers up to which the set is encoded as a plain bitmap. */
    static final int MAX_BITMAP_ROUTERS = 1_024;

    /** Length of the longest plain bitmap; a longer encoding is a block. */
    static final int MAX_BITMAP_BYTES = MAX_BITMAP_ROUTERS / Byte.SIZE;
    /** Size of a range: its first router and the number of routers, two bytes each. */
    private static final int RANGE_BYTES = 2 * Short.BYTES;
    /**
     * Number of ranges in a block: the smallest that makes the block longer than any plain bitmap, because the cause
     * of a refusal shares the datagram.
     */
    private static final int RANGES_PER_BLOCK = MAX_BITMAP_BYTES / RANGE_BYTES + 1;

    private static final int BLOCK_BYTES = RANGES_PER_BLOCK * RANGE_BYTES;
    /** Stands in place of the first range's first router; the window's number and its bitmap follow. */
    private static final short WINDOW_MARK = -1;

    private static final int WINDOW_BYTES = BLOCK_BYTES - RANGE_BYTES;
    private static final int WINDOW_ROUTERS = WINDOW_BYTES * Byte.SIZE;

    private final BitSet routers = new BitSet();
    /** Number of the window that the next message carries, if the set has to be sent as windows. */
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

    /** Returns the encoding for the next message; each call moves on to the next window if windows are needed. */
    byte[] encode() {
        if (routers.length() <= MAX_BITMAP_ROUTERS) {
            return routers.toByteArray();
        }
        byte[] ranges = encodeRanges();
        return ranges == null ? encodeWindow() : ranges;
    }

    /** Returns the whole set encoded as ranges, or null if it has too many ranges for a block. */
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

    /** Adds the routers that are listed in a received message. */
    void addAll(byte[] encoded) {
        if (encoded.length <= MAX_BITMAP_BYTES) {
            routers.or(BitSet.valueOf(encoded));
            return;
        }
        ByteBuffer in = ByteBuffer.wrap(encoded);
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
