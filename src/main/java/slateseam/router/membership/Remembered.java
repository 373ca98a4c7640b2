package slateseam.router.membership;

import java.util.List;

/**
 * All that a membership knows, to be brought to another one by {@link Membership#restore}. Nothing in it changes.
 *
 * @param version where the watch stood, as the API told it; null if nothing was ever listed
 * @param floor up to which version nothing is taken in of slices that are not known, as a list showed that they are
 *     gone; -1 if none was read
 * @param slices the slices that there are, with the labels and annotations that the settings name
 * @param deleted the slices that there were, the oldest deletion first
 * @param servers what cannot be told from the slices, by server
 */
public record Remembered(String version, long floor, List<Slice> slices, List<Deleted> deleted, List<Known> servers) {
    /** Copies the lists. */
    public Remembered {
        slices = List.copyOf(slices);
        deleted = List.copyOf(deleted);
        servers = List.copyOf(servers);
    }

    /** A slice that was deleted: no view of that name up to this version, and none of that uid, is taken in again. */
    public record Deleted(String name, String uid, long version) {}

    /**
     * What is known of a server beside the slices.
     *
     * @param name its identity
     * @param origin whether it is an origin
     * @param bornAtNanos its start if no annotation tells it, Unix nanoseconds; 0 is long ago
     * @param seenReady whether it was ever ready
     * @param drainedAt the version of the newest view in which it drained; -1 if none
     * @param held what it was when it was last in a slice, if it is in none now but still counts; null if it does not
     * @param guarded whether it still counts because too many left at once
     */
    public record Known(
            String name,
            boolean origin,
            long bornAtNanos,
            boolean seenReady,
            long drainedAt,
            Server held,
            boolean guarded) {}
}
