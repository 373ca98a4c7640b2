package slateseam.tier.agreement;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * One who votes: a router with one memory. A router that has lost its memory, or cannot be sure of it, is another one.
 *
 * @param router its number
 * @param memory drawn when the memory began, never 0
 */
public record Voter(int router, long memory) implements Comparable<Voter> {
    static final int BYTES = Short.BYTES + Long.BYTES;
    /** As many vote at the most. */
    public static final int MOST = 7;

    void put(ByteBuffer out) {
        out.putShort((short) router).putLong(memory);
    }

    static Voter get(ByteBuffer in) {
        return new Voter(in.getShort(), in.getLong());
    }

    static byte[] bytes(List<Voter> seats) {
        ByteBuffer out = ByteBuffer.allocate(seats.size() * BYTES);
        seats.forEach(seat -> seat.put(out));
        return out.array();
    }

    static List<Voter> all(byte[] bytes) {
        List<Voter> seats = new ArrayList<>();
        for (ByteBuffer in = ByteBuffer.wrap(bytes); in.remaining() >= BYTES; ) {
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
