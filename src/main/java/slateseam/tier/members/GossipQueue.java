package slateseam.tier.members;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeSet;
import slateseam.tier.members.Message.Record;

/** What is to be passed on: of each member the last that was said, told to so many others, the least told first. */
final class GossipQueue {
    private static final int TELLS_PER_DOUBLING = 3;
    /** Guards against looking through a thousand that do not fit for one that does. */
    private static final int MOST_LOOKS = 32;

    private static final class Item {
        final long id;
        final Record record;
        final long order;
        int told;

        Item(long id, Record record, long order) {
            this.id = id;
            this.record = record;
            this.order = order;
        }
    }

    private final Map<Long, Item> items = new HashMap<>();
    /** The same; kept in order, as sorting all for each datagram costs more than all else while many join. */
    private final NavigableSet<Item> byTold =
            new TreeSet<>(Comparator.<Item>comparingInt(item -> item.told).thenComparing(item -> -item.order));

    private long orders;

    /** Replaces what was to be told of a member. */
    void add(long id, Record record) {
        Item item = new Item(id, record, orders++);
        Item before = items.put(id, item);
        if (before != null) {
            byTold.remove(before);
        }
        byTold.add(item);
    }

    /** As much as has room, each counted as told once more; what was told often enough among so many members goes. */
    List<Record> take(int bytes, int members) {
        int most = TELLS_PER_DOUBLING * (Integer.SIZE - Integer.numberOfLeadingZeros(members + 1));
        List<Item> taken = new ArrayList<>();
        int left = bytes;
        int looks = MOST_LOOKS;
        for (Item item : byTold) {
            int length = item.record.bytes();
            if (length <= left) {
                left -= length;
                taken.add(item);
            }
            if (left < Message.Claim.BYTES || --looks == 0) {
                break;
            }
        }
        byTold.removeAll(taken);
        for (Item item : taken) {
            if (++item.told >= most) {
                items.remove(item.id);
            } else {
                byTold.add(item);
            }
        }
        return taken.stream().map(item -> item.record).toList();
    }
}
