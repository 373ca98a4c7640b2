package slateseam.decision;

import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What ring neighbours tell each other, and its layout. A router's lives are numbered by when they began, so that a
 * message of an earlier life is told from one of the present; numbers are compared by their difference.
 *
 * @param ask whether an answer is wanted
 * @param known whether the sender holds the pair's ledger: {@code flow} counts
 * @param starting whether the sender does not know its demand yet: {@code demand} is a floor
 * @param from life of the sender, never 0
 * @param to life of the receiver as the sender knows it, 0 if not yet
 * @param sequence number of this message of the sender
 * @param heard number of the last message that the sender has had from the receiver
 * @param rate the sender's learned R, fetches a second
 * @param flow for each account, all that went from the lower-numbered router to the higher
 * @param units for each account, the sender's own supply
 * @param held for each account, all that the sender may use: its own supply and what it has inherited
 * @param demand for each account, the sender's demand a second
 * @param popular the sender's reads lately of its most popular keys, and of all keys under 0
 */
record SupplyMessage(
        boolean ask,
        boolean known,
        boolean starting,
        int from,
        int to,
        int sequence,
        int heard,
        double rate,
        int[] flow,
        int[] units,
        int[] held,
        double[] demand,
        Map<Long, Double> popular) {
    private static final byte VERSION = 3;
    private static final int ASK = 1;
    private static final int KNOWN = 2;
    private static final int STARTING = 4;
    private static final int FLAG_BITS = 3;
    private static final int HEADER_BYTES = 22;
    private static final int ACCOUNT_BYTES = 16;
    private static final int KEY_BYTES = 12;
    private static final int MESSAGE_BYTES = 256;
    /** Fetches a second that no origin bears: one such figure would have all routers of the ring send what they have. */
    private static final double MOST_RATE = 1e6;
    /** As many accounts as a message holds. */
    static final int MOST_ACCOUNTS = (MESSAGE_BYTES - HEADER_BYTES) / ACCOUNT_BYTES;

    /** How many entries of popular keys fit beside so many accounts. */
    static int room(int accounts) {
        return (MESSAGE_BYTES - HEADER_BYTES - ACCOUNT_BYTES * accounts) / KEY_BYTES;
    }

    byte[] encode() {
        ByteBuffer b = ByteBuffer.allocate(HEADER_BYTES + ACCOUNT_BYTES * flow.length + KEY_BYTES * popular.size());
        int flags = (ask ? ASK : 0) | (known ? KNOWN : 0) | (starting ? STARTING : 0) | flow.length << FLAG_BITS;
        b.put(VERSION)
                .put((byte) flags)
                .putInt(from)
                .putInt(to)
                .putInt(sequence)
                .putInt(heard)
                .putFloat((float) rate);
        for (int a = 0; a < flow.length; a++) {
            b.putInt(flow[a]).putInt(units[a]).putInt(held[a]).putFloat((float) demand[a]);
        }
        popular.forEach((key, reads) -> b.putLong(key).putFloat(reads.floatValue()));
        return b.array();
    }

    /** Reads a message of so many accounts; null if it is garbled or of another version. */
    static SupplyMessage decode(byte[] bytes, int accounts) {
        int rest = bytes.length - HEADER_BYTES - ACCOUNT_BYTES * accounts;
        if (rest < 0 || rest % KEY_BYTES != 0 || bytes[0] != VERSION || bytes[1] >> FLAG_BITS != accounts) {
            return null;
        }
        ByteBuffer b = ByteBuffer.wrap(bytes, 1, bytes.length - 1);
        int flags = b.get();
        SupplyMessage m = new SupplyMessage(
                (flags & ASK) != 0,
                (flags & KNOWN) != 0,
                (flags & STARTING) != 0,
                b.getInt(),
                b.getInt(),
                b.getInt(),
                b.getInt(),
                b.getFloat(),
                new int[accounts],
                new int[accounts],
                new int[accounts],
                new double[accounts],
                new LinkedHashMap<>());
        boolean sound = m.from != 0 && m.rate > 0 && m.rate <= MOST_RATE;
        for (int a = 0; a < accounts; a++) {
            m.flow[a] = b.getInt();
            m.units[a] = b.getInt();
            m.held[a] = b.getInt();
            m.demand[a] = b.getFloat();
            sound &= m.demand[a] > 0 && Double.isFinite(m.demand[a]);
        }
        while (b.hasRemaining()) {
            long key = b.getLong();
            double reads = b.getFloat();
            sound &= reads >= 0 && Double.isFinite(reads);
            m.popular.put(key, reads);
        }
        return sound ? m : null;
    }
}
