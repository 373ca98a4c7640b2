package slateseam.router.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import slateseam.router.membership.Remembered.Deleted;

/** The slices that were deleted, so that an event which comes late does not bring one back. */
final class Deletions {
    private final Map<String, Deleted> byName = new LinkedHashMap<>();
    private final int most;

    Deletions(int most) {
        this.most = most;
    }

    /** Remembers one; the version of one that had to be forgotten for it, else -1. */
    long add(String name, String uid, long version) {
        Deleted earlier = byName.remove(name);
        if (earlier != null && earlier.version() > version) {
            byName.put(name, earlier);
            return -1;
        }
        byName.put(name, new Deleted(name, uid, version));
        if (byName.size() <= most) {
            return -1;
        }
        Iterator<Deleted> all = byName.values().iterator();
        long forgotten = all.next().version();
        all.remove();
        return forgotten;
    }

    /** Whether a view is from before a deletion that is remembered. */
    boolean covers(Slice slice) {
        Deleted deleted = byName.get(slice.name());
        return deleted != null
                && (slice.version() <= deleted.version() || slice.uid().equals(deleted.uid()));
    }

    /** A slice of that name is there again. */
    void remove(String name) {
        byName.remove(name);
    }

    void clear() {
        byName.clear();
    }

    List<Deleted> all() {
        return new ArrayList<>(byName.values());
    }
}
