package slateseam.tier.members;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeSet;
import slateseam.tier.members.Message.Record;

/**
 * Updates about members that are waiting to be piggybacked on outgoing datagrams. The queue keeps only the latest
 * update of each member, hands out the updates with the fewest transmissions first, and drops an update after a
 * number of transmissions that grows with the logarithm of the tier's size.
 */
final class GossipQueue {
    /** Transmissions of an update for each doubling of the number of members. */
    private static final int TRANSMISSIONS_PER_DOUBLING = 3;
    /**
     * Limit on the updates examined for one datagram, so that a queue of a thousand updates that do not fit is not
     * scanned for one that does.
     */
    private static final int MAX_ITEMS_EXAMINED = 32;

    private static final class Item {
        final long id;
        final Record record;
        final long order;
        int transmissions;

        Item(long id, Record record, long order) {
            this.id = id;
            this.record = record;
            this.order = order;
        }
    }

    private final Map<Long, Item> items = new HashMap<>();
    /**
     * The items of {@link #items}, fewest transmissions first and then newest first. The order is maintained
     * incrementally, because sorting all items for each datagram dominated the cost while many members joined.
     */
    private final NavigableSet<Item> byTransmissions = new TreeSet<>(
            Comparator.<Item>comparingInt(item -> item.transmissions).thenComparing(item -> -item.order));

    private long nextOrder;

    /** Queues an update of a member in place of any earlier update of the same member. */
    void add(long id, Record record) {
        Item item = new Item(id, record, nextOrder++);
        Item previous = items.put(id, item);
        if (previous != null) {
            byTransmissions.remove(previous);
        }
        byTransmissions.add(item);
    }

    /**
     * Takes the updates that fit into a datagram and counts one more transmission for each of them. Updates that have
     * been transmitted often enough for a tier of this size are removed from the queue.
     *
     * @param bytes the room that is left in the datagram
     * @param members the number of members that are present
     */
    List<Record> take(int bytes, int members) {
        int maxTransmissions = TRANSMISSIONS_PER_DOUBLING * (Integer.SIZE - Integer.numberOfLeadingZeros(members + 1));
        List<Item> taken = new ArrayList<>();
        int room = bytes;
        int examinationsLeft = MAX_ITEMS_EXAMINED;
        for (Item item : byTransmissions) {
            int length = item.record.bytes();
            if (length <= room) {
                room -= length;
                taken.add(item);
            }
            if (room < Message.Claim.BYTES || --examinationsLeft == 0) {
                break;
            }
        }
        byTransmissions.removeAll(taken);
        for (Item item : taken) {
            if (++item.transmissions >= maxTransmissions) {
                items.remove(item.id);
            } else {
                byTransmissions.add(item);
            }
        }
        return taken.stream().map(item -> item.record).toList();
    }
}
