package slateseam.router.membership;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** What waits, all for the same length of time, so that the order of coming is the order in which it is due. */
final class Waits<T> {
    private final Map<T, Long> due = new LinkedHashMap<>();
    private final int most;

    /** Creates waits for at most so many; beyond that the oldest is forgotten. */
    Waits(int most) {
        this.most = most;
    }

    /** Lets one wait until a time that is no earlier than that of those before it. */
    void put(T one, long until) {
        due.remove(one);
        due.put(one, until);
        if (due.size() > most) {
            due.remove(due.keySet().iterator().next());
        }
    }

    /** Ends a wait; whether there was one. */
    boolean remove(T one) {
        return due.remove(one) != null;
    }

    boolean contains(T one) {
        return due.containsKey(one);
    }

    /** When the first is due; {@link Long#MAX_VALUE} if none waits. */
    long next() {
        return due.isEmpty() ? Long.MAX_VALUE : due.values().iterator().next();
    }

    /** Takes out one that is due; null if none is. */
    T poll(long now) {
        if (next() > now) {
            return null;
        }
        Iterator<T> all = due.keySet().iterator();
        T first = all.next();
        all.remove();
        return first;
    }

    /** Those that wait, the oldest first. */
    Set<T> all() {
        return due.keySet();
    }

    int size() {
        return due.size();
    }
}
