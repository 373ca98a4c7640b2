package slateseam.router.net;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;

/**
 * A table of numbered slots. An entry's ticket is its slot's number and the slot's generation, so that a ticket kept too
 * long never meets the entry that uses the slot next.
 */
public final class Slots<T> {
    private static final int SLOT_BITS = 16;
    private static final int MOST = 1 << SLOT_BITS;
    private static final int GENERATION_MASK = Integer.MAX_VALUE;
    private static final int FIRST = 16;

    private final int limit;
    private final List<T> entries = new ArrayList<>();
    /** Of each slot that has ever been used. */
    private int[] generations = new int[FIRST];
    /** The numbers of those that can be used again, in the order in which they became free. */
    private int[] free = new int[FIRST];

    private int freeCount;

    /** Creates a table of at most so many slots. */
    public Slots(int limit) {
        this.limit = Math.min(limit, MOST);
    }

    /** Whether every slot is taken. */
    public boolean isFull() {
        return size() >= limit;
    }

    /** How many slots are taken. */
    public int size() {
        return entries.size() - freeCount;
    }

    /**
     * Puts an entry into a free slot and returns its ticket.
     *
     * @throws IllegalStateException if every slot is taken
     */
    public long add(T entry) {
        Objects.requireNonNull(entry);
        if (isFull()) {
            throw new IllegalStateException("all " + limit + " slots are taken");
        }
        int slot;
        if (freeCount == 0) {
            slot = entries.size();
            entries.add(entry);
            if (slot == generations.length) {
                generations = Arrays.copyOf(generations, 2 * slot);
                free = Arrays.copyOf(free, 2 * slot);
            }
            generations[slot] = 1;
        } else {
            slot = free[--freeCount];
            entries.set(slot, entry);
        }
        return (long) generations[slot] << SLOT_BITS | slot;
    }

    /** The entry of a ticket; null if it has been removed. */
    public T get(long ticket) {
        int slot = (int) (ticket & MOST - 1);
        boolean current = slot < entries.size() && generations[slot] == ticket >>> SLOT_BITS;
        return current ? entries.get(slot) : null;
    }

    /** Frees the slot of a ticket and returns what it held; null if that was removed before. */
    public T remove(long ticket) {
        T entry = get(ticket);
        if (entry != null) {
            int slot = (int) (ticket & MOST - 1);
            entries.set(slot, null);
            generations[slot] = generations[slot] + 1 & GENERATION_MASK;
            free[freeCount++] = slot;
        }
        return entry;
    }

    /** The entries, lowest slot first, as they are now. */
    public List<T> all() {
        return entries.stream().filter(Objects::nonNull).toList();
    }
}
