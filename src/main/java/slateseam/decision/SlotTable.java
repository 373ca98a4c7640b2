package slateseam.decision;

import java.util.List;

/**
 * Cache servers in the slots of a hash table, with room to spare; the same at every router that has the same list.
 * Guards against moving other servers' keys when one leaves or comes: its slot alone empties or fills. As slots follow
 * from the list and not from its history, routers that started later have the same.
 */
final class SlotTable {
    private static final int LEAST_SLOTS = 128;
    /** Slots of a server, at least four of them to each. */
    private static final int SLOTS_A_SERVER = 8;

    private UpstreamServer[] slots = new UpstreamServer[LEAST_SLOTS];

    /** Takes another list in place of the one before. */
    void place(List<UpstreamServer> caches) {
        slots = new UpstreamServer[Math.max(LEAST_SLOTS, SLOTS_A_SERVER * Integer.highestOneBit(caches.size()))];
        for (UpstreamServer server : caches) {
            long hash = JumpHash.mix(server.id());
            while (at(hash) != null) {
                hash = JumpHash.mix(hash + 1);
            }
            slots[slotOf(hash)] = server;
        }
    }

    /** The server of a hash; null where its slot is empty. */
    UpstreamServer at(long hash) {
        return slots[slotOf(hash)];
    }

    /** How many slots there are. */
    int size() {
        return slots.length;
    }

    /** The slot of a hash. */
    int slotOf(long hash) {
        return JumpHash.bucket(hash, slots.length);
    }

    /** The server so many slots behind another, round the table; null where that slot is empty. */
    UpstreamServer behind(int slot, int steps) {
        return slots[(slot + steps) % slots.length];
    }
}
