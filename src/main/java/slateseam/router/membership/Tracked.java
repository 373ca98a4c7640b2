package slateseam.router.membership;

import java.util.ArrayList;
import java.util.List;

/** A server that is in a slice, or was until a moment ago. */
final class Tracked {
    /** What one slice says of it. */
    record View(Part part, Endpoint endpoint) {
        long version() {
            return part.slice().version();
        }
    }

    final String name;
    final boolean origin;
    /** Whether its address is all that tells it from others. */
    final boolean byAddress;
    /** One a slice that it is in; none while it is in no slice but still counts. */
    final List<View> views = new ArrayList<>(1);
    /** Its start if no annotation tells it; 0 is long ago. */
    long bornAt;

    boolean seenReady;
    /** The version of the newest view in which it drained; -1 if none. */
    long drainedAt = -1;
    /** The version of the newest view in which it was ready; -1 if none. */
    long readyAt = -1;
    /** As it was last told; null before the first time. */
    Server told;

    Tracked(String name, boolean origin, boolean byAddress) {
        this.name = name;
        this.origin = origin;
        this.byAddress = byAddress;
    }

    /** Takes note of what a view says, whether or not the view is kept. */
    void saw(Endpoint endpoint, long version) {
        if (endpoint.takesNew()) {
            readyAt = Math.max(readyAt, version);
        } else {
            drainedAt = Math.max(drainedAt, version);
        }
    }

    /** Whether it was told to drain while it is in no slice. */
    boolean drainsAway() {
        return views.isEmpty() && told.ready() && drainedAt > readyAt;
    }

    /**
     * Guards against a late view that knows nothing of a drain: only one that is newer than the newest that drained
     * says that it is ready. Where versions cannot be compared, all must say so.
     */
    boolean isReady(boolean comparable) {
        boolean all = !views.isEmpty();
        boolean newer = false;
        for (View view : views) {
            all &= view.endpoint().takesNew();
            newer |= view.endpoint().takesNew() && view.version() > drainedAt;
        }
        return comparable ? newer : all;
    }

    /** Whether all that is told now says that it is ready, but is older than what said that it drains. */
    boolean isInDoubt() {
        return !views.isEmpty() && views.stream().allMatch(v -> v.endpoint().takesNew() && v.version() <= drainedAt);
    }

    /** Takes only the slices that are there into account. */
    void recount() {
        drainedAt = -1;
        readyAt = -1;
        views.forEach(view -> saw(view.endpoint(), view.version()));
    }

    /** The view that tells its address and place: of the family, else the newest; the same at every router. */
    View best(boolean ipv6) {
        View best = null;
        for (View view : views) {
            if (best == null || better(view, best, ipv6)) {
                best = view;
            }
        }
        return best;
    }

    private static boolean better(View one, View other, boolean ipv6) {
        Slice a = one.part().slice();
        Slice b = other.part().slice();
        if (a.ipv6() != b.ipv6()) {
            return a.ipv6() == ipv6;
        }
        return a.version() != b.version() ? a.version() > b.version() : a.name().compareTo(b.name()) < 0;
    }
}
