package slateseam.tier.policy;

import java.nio.ByteBuffer;
import java.util.BitSet;

/**
 * The routers that take a version, and how a datagram tells of them. Up to {@link #MOST_AS_BITS} routers it is a bit for each. Beyond
 * that it is a fixed number of ranges of router numbers, unused ones empty, which is longer than any bits and told by that. Where
 * there are more ranges than fit, each message tells others in turn. A message may so tell of fewer routers than
 * have accepted, and never of one that has not.
 */
final class AcceptedRouters {
    /** As many routers as are told as a bit each. */
    static final int MOST_AS_BITS = 1_024;

    static final int MOST_BIT_BYTES = MOST_AS_BITS / Byte.SIZE;
    /** A first router and how many there are from it on. */
    private static final int RANGE_BYTES = 2 * Short.BYTES;
    /** The fewest that are longer than all bits, as the cause of a refusal shares the datagram. */
    private static final int RANGES = MOST_BIT_BYTES / RANGE_BYTES + 1;

    private final BitSet routers = new BitSet();
    /** The router from which on the next message tells ranges. */
    private int cursor;

    void clear() {
        routers.clear();
        cursor = 0;
    }

    void add(int router) {
        routers.set(router);
    }

    boolean contains(int router) {
        return routers.get(router);
    }

    /** What the next message tells. */
    byte[] encode() {
        return routers.length() <= MOST_AS_BITS ? routers.toByteArray() : encodeRanges();
    }

    private byte[] encodeRanges() {
        ByteBuffer out = ByteBuffer.allocate(RANGES * RANGE_BYTES);
        int next = cursor;
        for (int range = 0; range < RANGES; range++) {
            int first = routers.nextSetBit(next);
            if (first < 0) {
                next = 0; // the others come in the messages after this
                break;
            }
            next = Math.min(routers.nextClearBit(first), first + Short.MAX_VALUE);
            out.putShort((short) first).putShort((short) (next - first));
        }
        cursor = next;
        return out.array();
    }

    /** Adds those of whom a message tells. */
    void addAll(byte[] told) {
        if (told.length <= MOST_BIT_BYTES) {
            routers.or(BitSet.valueOf(told));
            return;
        }
        ByteBuffer in = ByteBuffer.wrap(told);
        while (in.remaining() >= RANGE_BYTES) {
            int first = in.getShort();
            int count = in.getShort();
            if (first >= 0 && count > 0) {
                routers.set(first, first + count);
            }
        }
    }
}
