package slateseam.tier.agreement;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Identity of a voter: a router together with one instance of its durable state. A router that has lost its durable state, or cannot
 * rely on that state, takes part as a different voter.
 *
 * @param router number of the router
 * @param memory random identifier drawn when the durable state was created, never 0
 */
public record Voter(int router, long memory) implements Comparable<Voter> {
    /** Encoded length in bytes. */
    static final int ENCODED_BYTES = Short.BYTES + Long.BYTES;
    /** Maximum number of voters in a group. */
    public static final int MOST = 7;

    void put(ByteBuffer out) {
        out.putShort((short) router).putLong(memory);
    }

    static Voter get(ByteBuffer in) {
        return new Voter(in.getShort(), in.getLong());
    }

    static byte[] encodeAll(List<Voter> seats) {
        ByteBuffer out = ByteBuffer.allocate(seats.size() * ENCODED_BYTES);
        seats.forEach(seat -> seat.put(out));
        return out.array();
    }

    static List<Voter> decodeAll(byte[] bytes) {
        List<Voter> seats = new ArrayList<>();
        for (ByteBuffer in = ByteBuffer.wrap(bytes); in.remaining() >= ENCODED_BYTES; ) {
            seats.add(get(in));
        }
        return seats;
    }

    @Override
    public int compareTo(Voter other) {
        return Comparator.comparingInt(Voter::router)
                .thenComparingLong(Voter::memory)
                .compare(this, other);
    }

    @Override
    public String toString() {
        return router + "/" + Long.toHexString(memory);
    }
}
