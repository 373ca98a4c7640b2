package slateseam.decision;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * What its heir on the ring tells a router that has just started, and its layout: the supply that the router's earlier life
 * had as it told last. By that the one that starts knows what the ledgers of partners say that it has not heard yet.
 *
 * @param to life of the receiver
 * @param units for each account on the first page of messages, the receiver's own supply as its earlier life told it last
 */
record SupplyReminder(int to, int[] units) {
    private static final byte VERSION = 5;
    private static final int HEADER_BYTES = 2 + Integer.BYTES;

    /** Whether these bytes are to be read as a reminder. */
    static boolean isOne(byte[] bytes) {
        return bytes.length >= HEADER_BYTES && bytes[0] == VERSION;
    }

    /** Whether the earlier life owed something. */
    boolean owes() {
        return Arrays.stream(units).anyMatch(each -> each < 0);
    }

    byte[] encode() {
        ByteBuffer b = ByteBuffer.allocate(HEADER_BYTES + Integer.BYTES * units.length);
        b.put(VERSION).put((byte) units.length).putInt(to);
        for (int each : units) {
            b.putInt(each);
        }
        return b.array();
    }

    /** Reads a reminder of so many accounts; null if it is garbled. */
    static SupplyReminder decode(byte[] bytes, int accounts) {
        if (!isOne(bytes) || bytes[1] != accounts || bytes.length != HEADER_BYTES + Integer.BYTES * accounts) {
            return null;
        }
        ByteBuffer b = ByteBuffer.wrap(bytes, 2, bytes.length - 2);
        SupplyReminder reminder = new SupplyReminder(b.getInt(), new int[accounts]);
        for (int a = 0; a < accounts; a++) {
            reminder.units[a] = b.getInt();
        }
        return reminder;
    }
}
