package slateseam.router.hot;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import slateseam.router.net.Hash;
import slateseam.router.request.Names;

/**
 * The space-saving summary of Metwally, Agrawal and El Abbadi: so many counters, and for a key that has none the lowest
 * counter, whose count it inherits. A count is never too low, and too high by at most the total divided by the number of
 * counters. Counters of one count hang in a group, and groups in order, so that each request takes constant work.
 */
final class SpaceSaving {
    /** Behind the beginning of a key that is too long to be kept: of the whole. */
    private static final int HASH_BYTES = 8;

    /** The count of a tenant's key. */
    record Count(int tenant, byte[] key, long count) {}

    private static final class Counter {
        int tenant;
        byte[] key;
        long hash;
        Group group;
        Counter before;
        Counter behind;
        /** The next one in its place of the table. */
        Counter chained;
    }

    /** The counters of one count, the longest there first. */
    private static final class Group {
        final long count;
        Group lower;
        Group higher;
        Counter first;
        Counter last;

        Group(long count) {
            this.count = count;
        }
    }

    private final int slots;
    private final Counter[] table;
    private Group lowest;
    private Group highest;
    private int used;
    private long total;

    SpaceSaving(int slots) {
        this.slots = slots;
        this.table = new Counter[Integer.highestOneBit(slots) * 2];
    }

    /** By how much a count is too high at most. */
    double mostError() {
        return (double) total / slots;
    }

    void clear() {
        Arrays.fill(table, null);
        lowest = null;
        highest = null;
        used = 0;
        total = 0;
    }

    void count(int tenant, byte[] key) {
        total++;
        long hash = Hash.of(key) * 31 + tenant;
        byte[] kept = kept(key);
        Counter counter = find(hash, tenant, kept);
        if (counter != null) {
            raise(counter);
            return;
        }
        if (used < slots) {
            used++;
            counter = new Counter();
        } else {
            counter = lowest.first;
            unchain(counter);
        }
        counter.tenant = tenant;
        counter.key = kept;
        counter.hash = hash;
        int place = place(hash);
        counter.chained = table[place];
        table[place] = counter;
        raise(counter);
    }

    /** The highest counts, highest first. */
    List<Count> top(int most) {
        List<Count> top = new ArrayList<>();
        for (Group group = highest; group != null; group = group.lower) {
            for (Counter c = group.first; c != null; c = c.behind) {
                if (top.size() == most) {
                    return top;
                }
                top.add(new Count(c.tenant, c.key, group.count));
            }
        }
        return top;
    }

    /** Guards the memory against long keys, which stay distinct though their ends are not kept. */
    private static byte[] kept(byte[] key) {
        if (key.length <= Names.MOST_KEY_BYTES) {
            return key;
        }
        byte[] kept = Arrays.copyOf(key, Names.MOST_KEY_BYTES + HASH_BYTES);
        long hash = key.length;
        for (byte b : key) {
            hash = (hash + b) * 0x9e3779b97f4a7c15L;
            hash ^= hash >>> 29;
        }
        for (int i = 0; i < HASH_BYTES; i++) {
            kept[Names.MOST_KEY_BYTES + i] = (byte) (hash >>> 8 * i);
        }
        return kept;
    }

    private int place(long hash) {
        return (int) (hash ^ hash >>> 32) & table.length - 1;
    }

    private Counter find(long hash, int tenant, byte[] kept) {
        Counter c = table[place(hash)];
        while (c != null && (c.hash != hash || c.tenant != tenant || !Arrays.equals(c.key, kept))) {
            c = c.chained;
        }
        return c;
    }

    private void unchain(Counter counter) {
        int place = place(counter.hash);
        if (table[place] == counter) {
            table[place] = counter.chained;
            return;
        }
        Counter c = table[place];
        while (c.chained != counter) {
            c = c.chained;
        }
        c.chained = counter.chained;
    }

    /** Moves a counter up by one, from the group it is in, if any, to the next. */
    private void raise(Counter counter) {
        Group from = counter.group;
        long count = from == null ? 1 : from.count + 1;
        Group next = from == null ? lowest : from.higher;
        Group to = next != null && next.count == count ? next : insert(count, from, next);
        if (from != null) {
            take(counter, from);
        }
        counter.group = to;
        counter.before = to.last;
        counter.behind = null;
        if (to.last == null) {
            to.first = counter;
        } else {
            to.last.behind = counter;
        }
        to.last = counter;
    }

    private Group insert(long count, Group lower, Group higher) {
        Group group = new Group(count);
        link(lower, group);
        link(group, higher);
        return group;
    }

    private void link(Group lower, Group higher) {
        if (lower == null) {
            lowest = higher;
        } else {
            lower.higher = higher;
        }
        if (higher == null) {
            highest = lower;
        } else {
            higher.lower = lower;
        }
    }

    private void take(Counter counter, Group from) {
        if (counter.before == null) {
            from.first = counter.behind;
        } else {
            counter.before.behind = counter.behind;
        }
        if (counter.behind == null) {
            from.last = counter.before;
        } else {
            counter.behind.before = counter.before;
        }
        if (from.first == null) {
            link(from.lower, from.higher);
        }
    }
}
