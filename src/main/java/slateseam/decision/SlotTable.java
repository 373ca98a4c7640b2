package slateseam.decision;

import java.util.List;

/**
 * Assigns cache servers to the slots of a sparse hash table. When a server leaves or joins, only its own slot is
 * emptied or filled, so that the keys of other servers stay in place. The slots depend on the member list alone and
 * not on its history, so routers with the same list have the same table whenever they started.
 */
final class SlotTable {
    private static final int MIN_SLOTS = 128;
    /**
     * The slots for each server, before their number is rounded down to a power of two: each server has at least four.
     */
    private static final int SLOTS_PER_SERVER = 8;

    private UpstreamServer[] slots = new UpstreamServer[MIN_SLOTS];

    /** Assigns slots to a list of servers, which replaces the previous list. */
    void assign(List<UpstreamServer> caches) {
        slots = new UpstreamServer[Math.max(MIN_SLOTS, SLOTS_PER_SERVER * Integer.highestOneBit(caches.size()))];
        for (UpstreamServer server : caches) {
            long hash = JumpHash.mix(server.id());
            while (serverFor(hash) != null) {
                hash = JumpHash.mix(hash + 1);
            }
            slots[slotOf(hash)] = server;
        }
    }

    /** Returns the server in the slot of a hash; null if the slot is empty. */
    UpstreamServer serverFor(long hash) {
        return slots[slotOf(hash)];
    }

    /** Returns the number of slots, empty ones included. */
    int size() {
        return slots.length;
    }

    /** Returns the index of the slot that a hash maps to. */
    int slotOf(long hash) {
        return JumpHash.bucket(hash, slots.length);
    }

    /**
     * Returns the server in the slot {@code steps} after another; the table wraps around. Returns null if that slot is
     * empty.
     */
    UpstreamServer serverAfter(int slot, int steps) {
        return slots[(slot + steps) % slots.length];
    }
}
