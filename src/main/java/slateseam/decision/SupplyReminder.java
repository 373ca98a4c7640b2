package slateseam.decision;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * A message, with its encoding, that reminds a router that has just started of the supply of its previous run, as
 * that run reported it last. From it the router infers the balance of the ledgers that it has not heard from yet. It
 * is sent by the router's ring successor, and by other neighbours if the previous run owed supply.
 *
 * @param receiverRun number of the receiver's present run
 * @param units for each account on the first page of messages, the receiver's own supply as its previous run last
 *     reported
 */
record SupplyReminder(int receiverRun, int[] units) {
    private static final byte VERSION = 5;
    private static final int HEADER_BYTES = 2 + Integer.BYTES;

    /** Returns whether an encoded message is a reminder, by its version. */
    static boolean isReminder(byte[] bytes) {
        return bytes.length >= HEADER_BYTES && bytes[0] == VERSION;
    }

    /** Returns whether the previous run owed supply of any account. */
    boolean owes() {
        return Arrays.stream(units).anyMatch(each -> each < 0);
    }

    /** Returns the encoded message. */
    byte[] encode() {
        ByteBuffer b = ByteBuffer.allocate(HEADER_BYTES + Integer.BYTES * units.length);
        b.put(VERSION).put((byte) units.length).putInt(receiverRun);
        for (int each : units) {
            b.putInt(each);
        }
        return b.array();
    }

    /** Decodes a reminder of the given number of accounts; returns null if it is malformed. */
    static SupplyReminder decode(byte[] bytes, int accounts) {
        if (!isReminder(bytes) || bytes[1] != accounts || bytes.length != HEADER_BYTES + Integer.BYTES * accounts) {
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
