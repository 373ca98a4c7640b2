package slateseam.standin.kubernetes;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import slateseam.standin.Clockwork;

/** Hands changes on to the watches: in order, or late, twice or in another order as asked. */
final class Feed {
    private static final long LONGEST_KEPT = 200_000_000;

    private final Clockwork clock;
    private final SliceStore store;
    private final Set<Watch> watches = new LinkedHashSet<>();
    /** Versions of changes that watches were not told of yet. */
    private final TreeSet<Long> untold = new TreeSet<>();

    private long lateNanos;
    private long lastDue = Long.MIN_VALUE;
    private int duplicates;
    private int swaps;
    private Change kept;

    Feed(Clockwork clock, SliceStore store) {
        this.clock = clock;
        this.store = store;
        store.listen(this::changed);
    }

    void late(long nanos) {
        lateNanos = nanos;
    }

    void duplicate(int changes) {
        duplicates = changes;
    }

    void swap(int pairs) {
        swaps = pairs;
    }

    void add(Watch watch) {
        watches.add(watch);
    }

    void remove(ApiCall call) {
        watches.removeIf(watch -> watch.call() == call);
    }

    /** The watches that are open now. */
    List<Watch> watches() {
        watches.removeIf(watch -> watch.call().isOver());
        return new ArrayList<>(watches);
    }

    /** Up to here every watch was told all, or began behind it. */
    long told() {
        return untold.isEmpty() ? store.version() : untold.first() - 1;
    }

    private void changed(Change change) {
        untold.add(change.version());
        long now = clock.now();
        // One that is not late itself waits behind those that are.
        lastDue = Math.max(now + lateNanos, lastDue);
        if (lastDue <= now) {
            pass(change);
        } else {
            clock.at(lastDue, () -> pass(change));
        }
    }

    private void pass(Change change) {
        Change before = kept;
        kept = null;
        if (before == null && swaps > 0) {
            swaps--;
            kept = change;
            clock.at(clock.now() + LONGEST_KEPT, () -> {
                if (kept == change) {
                    kept = null;
                    tell(change);
                }
            });
        } else if (before == null) {
            tell(change);
        } else if (before.name().equals(change.name())) {
            // Two states of one object are never swapped.
            tell(before);
            tell(change);
        } else {
            tell(change);
            tell(before);
        }
    }

    private void tell(Change change) {
        untold.remove(change.version());
        boolean twice = duplicates > 0;
        duplicates -= twice ? 1 : 0;
        for (Watch watch : watches()) {
            watch.tell(change);
            if (twice) {
                watch.tell(change);
            }
        }
    }
}
