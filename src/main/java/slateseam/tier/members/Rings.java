package slateseam.tier.members;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Assigns to each member the members that monitor it (its watchers). There are several rings, each with its own order
 * of the members. On each ring, a member is watched by its next successor that does not watch it on an earlier ring.
 * If there are no more other members than rings, every member is watched by all others. Routers with the same set of
 * members compute the same assignment.
 */
final class Rings {
    private final List<Ring> rings = new ArrayList<>();
    /** The watchers computed since the rings last changed, by the id of the watched member. */
    private final Map<Long, long[]> cachedWatchers = new HashMap<>();

    private int version;

    /** One ring: the members in ascending order of their positions, which are compared as unsigned numbers. */
    private static final class Ring {
        private static final int INITIAL_CAPACITY = 16;

        /** The positions with the sign bit flipped, ascending. */
        private long[] positions = new long[INITIAL_CAPACITY];

        private long[] ids = new long[INITIAL_CAPACITY];
        private int size;

        /** Flips the sign bit, which makes the signed order of longs the unsigned order of the positions. */
        private static long key(long position) {
            return position ^ Long.MIN_VALUE;
        }

        /**
         * Returns the index of a position, or the result of {@link Arrays#binarySearch} for its insertion point if it
         * is absent.
         */
        private int find(long position) {
            return Arrays.binarySearch(positions, 0, size, key(position));
        }

        /** Adds a member at a position; returns false if the position is occupied. */
        boolean add(long position, long id) {
            int found = find(position);
            if (found >= 0) {
                return false;
            }
            int at = -found - 1;
            if (size == positions.length) {
                positions = Arrays.copyOf(positions, 2 * size);
                ids = Arrays.copyOf(ids, 2 * size);
            }
            System.arraycopy(positions, at, positions, at + 1, size - at);
            System.arraycopy(ids, at, ids, at + 1, size - at);
            positions[at] = key(position);
            ids[at] = id;
            size++;
            return true;
        }

        /** Removes the member at a position; returns false if there is none. */
        boolean remove(long position) {
            int at = find(position);
            if (at < 0) {
                return false;
            }
            System.arraycopy(positions, at + 1, positions, at, size - at - 1);
            System.arraycopy(ids, at + 1, ids, at, size - at - 1);
            size--;
            return true;
        }

        /** Returns the index of the first member after a position, wrapping around at the end. */
        int after(long position) {
            int found = find(position);
            return next(found >= 0 ? found : -found - 2);
        }

        /** Returns the index of the last member before a position, wrapping around at the start. */
        int before(long position) {
            int found = find(position);
            return previous(found >= 0 ? found : -found - 1);
        }

        int next(int index) {
            return index + 1 < size ? index + 1 : 0;
        }

        int previous(int index) {
            return index > 0 ? index - 1 : size - 1;
        }
    }

    Rings(int count) {
        for (int i = 0; i < count; i++) {
            rings.add(new Ring());
        }
    }

    void add(long id) {
        boolean changed = false;
        for (int i = 0; i < rings.size(); i++) {
            changed |= rings.get(i).add(Ids.ringPosition(i, id), id);
        }
        invalidateIf(changed);
    }

    void remove(long id) {
        boolean changed = false;
        for (int i = 0; i < rings.size(); i++) {
            changed |= rings.get(i).remove(Ids.ringPosition(i, id));
        }
        invalidateIf(changed);
    }

    private void invalidateIf(boolean changed) {
        if (changed) {
            version++;
            cachedWatchers.clear();
        }
    }

    /** Returns a number that changes whenever the assignment of watchers may have changed. */
    int version() {
        return version;
    }

    /** Returns the number of members. */
    int size() {
        return rings.get(0).size;
    }

    /**
     * Returns the ids of the members that watch a member, in the order of the rings. The caller must not modify the
     * array.
     */
    long[] watchers(long id) {
        return cachedWatchers.computeIfAbsent(id, this::find);
    }

    private long[] find(long id) {
        long[] watchers = new long[Math.min(rings.size(), Math.max(0, size() - 1))];
        int found = 0;
        for (int i = 0; i < rings.size() && found < watchers.length; i++) {
            Ring ring = rings.get(i);
            int at = ring.after(Ids.ringPosition(i, id));
            for (int steps = 0; steps <= ring.size; steps++) {
                long next = ring.ids[at];
                if (next != id && !contains(watchers, found, next)) {
                    watchers[found++] = next;
                    break;
                }
                at = ring.next(at);
            }
        }
        return found == watchers.length ? watchers : Arrays.copyOf(watchers, found);
    }

    private static boolean contains(long[] ids, int length, long id) {
        for (int i = 0; i < length; i++) {
            if (ids[i] == id) {
                return true;
            }
        }
        return false;
    }

    /** Returns the ids of the members that a member watches. */
    Set<Long> subjects(long id) {
        Set<Long> subjects = new LinkedHashSet<>();
        for (int i = 0; i < rings.size(); i++) {
            Ring ring = rings.get(i);
            int at = ring.before(Ids.ringPosition(i, id));
            // A member skips at most one successor for each earlier ring, so members further back have other watchers.
            for (int steps = 0; steps < Math.min(size() - 1, rings.size() + 1); steps++) {
                long before = ring.ids[at];
                long[] watchers = before == id ? new long[0] : watchers(before);
                if (contains(watchers, watchers.length, id)) {
                    subjects.add(before);
                }
                at = ring.previous(at);
            }
        }
        return subjects;
    }
}
