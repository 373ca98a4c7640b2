package slateseam.tier.members;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Who watches whom: on each of some rings, each with an order of its own, a member is watched by the next one that does not watch it
 * already. Where there are no more others than rings, all others watch it. All who see the same members see the same watchers.
 */
final class Rings {
    private final List<Ring> rings = new ArrayList<>();
    /** Watchers that were worked out since the rings changed last. */
    private final Map<Long, long[]> known = new HashMap<>();

    private int version;

    /** One ring: its members in ascending order of their places, which are compared without a sign. */
    private static final class Ring {
        private static final int FIRST_CAPACITY = 16;

        private long[] places = new long[FIRST_CAPACITY];
        private long[] ids = new long[FIRST_CAPACITY];
        private int size;

        /** The flipped sign makes the usual order of longs the unsigned one. */
        private static long key(long place) {
            return place ^ Long.MIN_VALUE;
        }

        /** Where a place is; as {@link Arrays#binarySearch} if it is not there. */
        private int find(long place) {
            return Arrays.binarySearch(places, 0, size, key(place));
        }

        boolean add(long place, long id) {
            int found = find(place);
            if (found >= 0) {
                return false;
            }
            int at = -found - 1;
            if (size == places.length) {
                places = Arrays.copyOf(places, 2 * size);
                ids = Arrays.copyOf(ids, 2 * size);
            }
            System.arraycopy(places, at, places, at + 1, size - at);
            System.arraycopy(ids, at, ids, at + 1, size - at);
            places[at] = key(place);
            ids[at] = id;
            size++;
            return true;
        }

        boolean remove(long place) {
            int at = find(place);
            if (at < 0) {
                return false;
            }
            System.arraycopy(places, at + 1, places, at, size - at - 1);
            System.arraycopy(ids, at + 1, ids, at, size - at - 1);
            size--;
            return true;
        }

        /** The index of the first one behind a place, from the start again behind the last. */
        int after(long place) {
            int found = find(place);
            return next(found >= 0 ? found : -found - 2);
        }

        /** The index of the last one before a place, from the end again before the first. */
        int before(long place) {
            int found = find(place);
            return previous(found >= 0 ? found : -found - 1);
        }

        int next(int index) {
            return index + 1 < size ? index + 1 : 0;
        }

        int previous(int index) {
            return index > 0 ? index - 1 : size - 1;
        }
    }

    Rings(int number) {
        for (int i = 0; i < number; i++) {
            rings.add(new Ring());
        }
    }

    void add(long id) {
        boolean changed = false;
        for (int i = 0; i < rings.size(); i++) {
            changed |= rings.get(i).add(Ids.on(i, id), id);
        }
        changed(changed);
    }

    void remove(long id) {
        boolean changed = false;
        for (int i = 0; i < rings.size(); i++) {
            changed |= rings.get(i).remove(Ids.on(i, id));
        }
        changed(changed);
    }

    private void changed(boolean so) {
        if (so) {
            version++;
            known.clear();
        }
    }

    /** Changes whenever who watches whom may have changed. */
    int version() {
        return version;
    }

    /** How many there are. */
    int size() {
        return rings.get(0).size;
    }

    /** Who watches it, in the rings' order; not to be changed. */
    long[] watchers(long id) {
        return known.computeIfAbsent(id, this::find);
    }

    private long[] find(long id) {
        long[] watchers = new long[Math.min(rings.size(), Math.max(0, size() - 1))];
        int found = 0;
        for (int i = 0; i < rings.size() && found < watchers.length; i++) {
            Ring ring = rings.get(i);
            int at = ring.after(Ids.on(i, id));
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

    /** Whom it watches. */
    Set<Long> subjects(long id) {
        Set<Long> subjects = new LinkedHashSet<>();
        for (int i = 0; i < rings.size(); i++) {
            Ring ring = rings.get(i);
            int at = ring.before(Ids.on(i, id));
            // One further back than all rings could have skipped it does not reach it any more.
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
