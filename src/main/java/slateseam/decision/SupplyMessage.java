package slateseam.decision;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What ring neighbours tell each other, and its layout. A router's lives are numbered by when they began, so that a
 * message of an earlier life is told from one of the present; numbers are compared by their difference.
 *
 * <p>A datagram holds few accounts, so they are divided over pages, each of which is a message of its own. The first has the layout
 * that routers before this build know; the further ones have a version of their own, which those pass over.
 *
 * @param page which part of the accounts it tells of; from 0
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
        int page,
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
    /** Of the pages behind the first. */
    private static final byte PAGE_VERSION = 4;

    private static final int ASK = 1;
    private static final int KNOWN = 2;
    private static final int STARTING = 4;
    private static final int FLAG_BITS = 3;
    private static final int HEADER_BYTES = 22;
    private static final int PAGE_BYTES = 2;
    private static final int ACCOUNT_BYTES = 16;
    private static final int KEY_BYTES = 12;
    private static final int MESSAGE_BYTES = 256;
    /** Fetches a second that no origin bears: one such figure would have all routers of the ring send what they have. */
    private static final double MOST_RATE = 1e6;
    /** As many accounts as a message holds. */
    static final int MOST_ACCOUNTS = (MESSAGE_BYTES - HEADER_BYTES) / ACCOUNT_BYTES;
    /** The page that tells of popular keys where the first is full of accounts, and the accounts that it holds beside them. */
    private static final int KEYS_PAGE = 1;

    private static final int ACCOUNTS_BESIDE_KEYS = 10;

    /** How many accounts each page holds of so many; there is always a page with room for popular keys. */
    static List<Integer> pages(int accounts) {
        List<Integer> sizes = new ArrayList<>();
        sizes.add(Math.min(accounts, MOST_ACCOUNTS));
        for (int left = accounts - MOST_ACCOUNTS; left > 0 || left == 0 && sizes.size() == KEYS_PAGE; ) {
            int size = Math.min(left, sizes.size() == KEYS_PAGE ? ACCOUNTS_BESIDE_KEYS : MOST_ACCOUNTS);
            sizes.add(size);
            left -= size;
        }
        return sizes;
    }

    /** How many entries of popular keys fit on a page beside so many accounts; on the pages behind the second there are none. */
    static int room(int page, int accounts) {
        return page > KEYS_PAGE ? 0 : (MESSAGE_BYTES - headerBytes(page) - ACCOUNT_BYTES * accounts) / KEY_BYTES;
    }

    private static int headerBytes(int page) {
        return HEADER_BYTES + (page == 0 ? 0 : PAGE_BYTES);
    }

    byte[] encode() {
        ByteBuffer b =
                ByteBuffer.allocate(headerBytes(page) + ACCOUNT_BYTES * flow.length + KEY_BYTES * popular.size());
        int flags = (ask ? ASK : 0) | (known ? KNOWN : 0) | (starting ? STARTING : 0) | flow.length << FLAG_BITS;
        b.put(page == 0 ? VERSION : PAGE_VERSION)
                .put((byte) flags)
                .putInt(from)
                .putInt(to)
                .putInt(sequence)
                .putInt(heard)
                .putFloat((float) rate);
        if (page > 0) {
            b.putShort((short) page);
        }
        for (int a = 0; a < flow.length; a++) {
            b.putInt(flow[a]).putInt(units[a]).putInt(held[a]).putFloat((float) demand[a]);
        }
        popular.forEach((key, reads) -> b.putLong(key).putFloat(reads.floatValue()));
        return b.array();
    }

    /** Reads a message about accounts that are divided over pages so; null if it is garbled or of another version. */
    static SupplyMessage decode(byte[] bytes, List<Integer> pages) {
        int page = pageOf(bytes);
        if (page < 0 || page >= pages.size()) {
            return null;
        }
        int accounts = pages.get(page);
        int rest = bytes.length - headerBytes(page) - ACCOUNT_BYTES * accounts;
        if (rest < 0 || rest % KEY_BYTES != 0 || bytes[1] >> FLAG_BITS != accounts) {
            return null;
        }
        ByteBuffer b = ByteBuffer.wrap(bytes, 1, bytes.length - 1);
        int flags = b.get();
        SupplyMessage m = new SupplyMessage(
                page,
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
        b.position(headerBytes(page));
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

    /** The page that a message says it is; -1 if it does not tell or is of another version. */
    private static int pageOf(byte[] bytes) {
        if (bytes.length < HEADER_BYTES) {
            return -1;
        }
        if (bytes[0] == PAGE_VERSION && bytes.length >= HEADER_BYTES + PAGE_BYTES) {
            int page = ByteBuffer.wrap(bytes).getShort(HEADER_BYTES);
            return page > 0 ? page : -1;
        }
        return bytes[0] == VERSION ? 0 : -1;
    }
}
