package slateseam.standin.kubernetes;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongFunction;

/**
 * The slices of a namespace, numbered over all changes, with the last changes; what lies before those is compacted and
 * cannot be told.
 */
final class SliceStore {
    private static final long FIRST = 10_000;

    private final TreeMap<String, Stored> current = new TreeMap<>();
    private final Deque<Change> changes = new ArrayDeque<>();
    private final int mostChanges;
    private Consumer<Change> listener = change -> {};
    private long version = FIRST;
    private long floor = FIRST;

    /** Keeps so many changes; older ones are compacted one by one. */
    SliceStore(int mostChanges) {
        this.mostChanges = mostChanges;
    }

    /** Who is told of each change. */
    void listen(Consumer<Change> other) {
        listener = other;
    }

    long version() {
        return version;
    }

    /** Whether what has changed since a version can be told. */
    boolean knows(long since) {
        return since >= floor;
    }

    /** Something else in the cluster changes, so that the slices' versions have gaps. */
    void pass() {
        version++;
    }

    /** Adds or changes a slice; its text is made for the version that it gets. */
    void put(String name, LongFunction<Stored> made) {
        version++;
        Stored after = made.apply(version);
        record(new Change(version, current.put(name, after), after));
    }

    /** Deletes a slice that is there. */
    void delete(String name) {
        version++;
        record(new Change(version, current.remove(name), null));
    }

    private void record(Change change) {
        changes.add(change);
        if (changes.size() > mostChanges) {
            floor = changes.poll().version();
        }
        listener.accept(change);
    }

    /** Forgets all changes up to now. */
    void compact() {
        changes.clear();
        floor = version;
    }

    Stored get(String name) {
        return current.get(name);
    }

    /** What there was at a version that is known, by name. */
    List<Stored> at(long then) {
        TreeMap<String, Stored> state = new TreeMap<>(current);
        Iterator<Change> back = changes.descendingIterator();
        for (Change change; back.hasNext() && (change = back.next()).version() > then; ) {
            if (change.before() == null) {
                state.remove(change.name());
            } else {
                state.put(change.name(), change.before());
            }
        }
        return new ArrayList<>(state.values());
    }

    /** Changes after a version that is known, in their order. */
    List<Change> since(long then) {
        List<Change> later = new ArrayList<>();
        for (Change change : changes) {
            if (change.version() > then) {
                later.add(change);
            }
        }
        return later;
    }
}
