package slateseam.decision;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A message between two routers that exchange supply, with its encoding. The runs of a router are numbered by their
 * start times, so that a message of a previous run can be told from one of the present run; the numbers wrap around
 * and are compared by their difference.
 *
 * <p>A datagram holds few accounts, so the accounts are divided over pages, each of which is a message of its own.
 * The first page has the layout that builds without pages know; the further pages have a version number of their own,
 * and those builds ignore them.
 *
 * @param page index of the page of accounts, from 0
 * @param answerWanted whether the sender wants an answer
 * @param known whether the sender knows the totals of the pair's ledger; if not, {@code flow} is meaningless
 * @param starting whether the sender does not know its demand yet; {@code demand} then is only its floor
 * @param senderRun number of the sender's run, never 0
 * @param receiverRun number of the receiver's run as the sender knows it, 0 if it does not
 * @param sequence sequence number of this message
 * @param acknowledged sequence number of the last message that the sender has received from the receiver
 * @param rate the sender's learned R, in fetches per second
 * @param flow for each account, the total moved from the lower-numbered router to the higher-numbered
 * @param units for each account, the sender's own supply in units
 * @param held for each account, the units that the sender may use: its own supply and that of vanished neighbours
 * @param demand for each account, the sender's demand per second
 * @param popular recent reads of the sender's most popular keys, and under key 0 the reads of all keys
 */
record SupplyMessage(
        int page,
        boolean answerWanted,
        boolean known,
        boolean starting,
        int senderRun,
        int receiverRun,
        int sequence,
        int acknowledged,
        double rate,
        int[] flow,
        int[] units,
        int[] held,
        double[] demand,
        Map<Long, Double> popular) {
    private static final byte VERSION = 3;
    /** Version of the pages after the first. */
    private static final byte PAGE_VERSION = 4;

    private static final int ANSWER_WANTED = 1;
    private static final int KNOWN = 2;
    private static final int STARTING = 4;
    /** Bits of the flags, above which the same byte holds the number of accounts. */
    private static final int FLAG_BITS = 3;

    private static final int HEADER_BYTES = 22;
    /** Size of the page index in the header of the pages after the first. */
    private static final int PAGE_BYTES = 2;

    private static final int ACCOUNT_BYTES = 16;
    /** Size of a popular key with its reads. */
    private static final int KEY_BYTES = 12;
    /** Largest datagram. */
    private static final int MAX_MESSAGE_BYTES = 256;
    /**
     * Fetches per second that no origin can bear. A message with a higher R is rejected: a single such figure would
     * make all routers of the ring send whatever they have.
     */
    private static final double MAX_FETCHES_PER_SECOND = 1e6;
    /** The most accounts that fit in a message. */
    static final int MAX_ACCOUNTS = (MAX_MESSAGE_BYTES - HEADER_BYTES) / ACCOUNT_BYTES;
    /** The page that carries popular keys if the accounts fill the first page. */
    private static final int KEYS_PAGE = 1;

    /** The most accounts on {@link #KEYS_PAGE}, so that there is room for popular keys. */
    private static final int ACCOUNTS_BESIDE_KEYS = 10;

    /**
     * Divides accounts over pages, of which at least one has room for popular keys.
     *
     * @param accounts the number of accounts
     * @return the number of accounts on each page
     */
    static List<Integer> pageSizes(int accounts) {
        List<Integer> sizes = new ArrayList<>();
        sizes.add(Math.min(accounts, MAX_ACCOUNTS));
        for (int left = accounts - MAX_ACCOUNTS; left > 0 || left == 0 && sizes.size() == KEYS_PAGE; ) {
            int size = Math.min(left, sizes.size() == KEYS_PAGE ? ACCOUNTS_BESIDE_KEYS : MAX_ACCOUNTS);
            sizes.add(size);
            left -= size;
        }
        return sizes;
    }

    /**
     * Returns how many popular keys fit on a page with the given number of accounts; 0 on all pages after the second.
     */
    static int keyCapacity(int page, int accounts) {
        return page > KEYS_PAGE ? 0 : (MAX_MESSAGE_BYTES - headerBytes(page) - ACCOUNT_BYTES * accounts) / KEY_BYTES;
    }

    private static int headerBytes(int page) {
        return HEADER_BYTES + (page == 0 ? 0 : PAGE_BYTES);
    }

    /** Returns the encoded message. */
    byte[] encode() {
        ByteBuffer b =
                ByteBuffer.allocate(headerBytes(page) + ACCOUNT_BYTES * flow.length + KEY_BYTES * popular.size());
        int flags = (answerWanted ? ANSWER_WANTED : 0)
                | (known ? KNOWN : 0)
                | (starting ? STARTING : 0)
                | flow.length << FLAG_BITS;
        b.put(page == 0 ? VERSION : PAGE_VERSION)
                .put((byte) flags)
                .putInt(senderRun)
                .putInt(receiverRun)
                .putInt(sequence)
                .putInt(acknowledged)
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

    /**
     * Decodes a message.
     *
     * @param pageSizes the number of accounts on each page
     * @return null if the message is malformed or of another version
     */
    static SupplyMessage decode(byte[] bytes, List<Integer> pageSizes) {
        int page = pageOf(bytes);
        if (page < 0 || page >= pageSizes.size()) {
            return null;
        }
        int accounts = pageSizes.get(page);
        int keyBytes = bytes.length - headerBytes(page) - ACCOUNT_BYTES * accounts;
        if (keyBytes < 0 || keyBytes % KEY_BYTES != 0 || bytes[1] >> FLAG_BITS != accounts) {
            return null;
        }
        ByteBuffer b = ByteBuffer.wrap(bytes, 1, bytes.length - 1);
        int flags = b.get();
        SupplyMessage m = new SupplyMessage(
                page,
                (flags & ANSWER_WANTED) != 0,
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
        boolean valid = m.senderRun != 0 && m.rate > 0 && m.rate <= MAX_FETCHES_PER_SECOND;
        for (int a = 0; a < accounts; a++) {
            m.flow[a] = b.getInt();
            m.units[a] = b.getInt();
            m.held[a] = b.getInt();
            m.demand[a] = b.getFloat();
            valid &= m.demand[a] > 0 && Double.isFinite(m.demand[a]);
        }
        while (b.hasRemaining()) {
            long key = b.getLong();
            double reads = b.getFloat();
            valid &= reads >= 0 && Double.isFinite(reads);
            m.popular.put(key, reads);
        }
        return valid ? m : null;
    }

    /** Returns the page index of a message; -1 if it is malformed or of another version. */
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
