package slateseam.router.membership;

import java.util.List;

/**
 * Settles the list of the farm from what the API tells of slices. Not thread-safe; every time is Unix nanoseconds,
 * handed in, and never goes back.
 */
public final class Membership {
    /** What changed since it was asked last: servers that are new or other than they were, and those that left. */
    public record Changes(List<Server> changed, List<Server> gone) {
    }

    /** Creates a membership that knows nothing but a fixed origin. */
    public Membership(MembershipSettings settings) {
        throw new UnsupportedOperationException();
    }

    /** A whole list was read: every slice there is, at a collection version (the list's resourceVersion). */
    public void listed(List<Slice> slices, String collectionVersion, long now) {
        throw new UnsupportedOperationException();
    }

    /** A slice was added or changed. */
    public void changed(Slice slice, long now) {
        throw new UnsupportedOperationException();
    }

    /** A slice was deleted; the version is that of the deletion. */
    public void deleted(String name, String uid, long version, long now) {
        throw new UnsupportedOperationException();
    }

    /** A slice was deleted and this was its last state, at the version of the deletion; what drains in it drains. */
    public void deleted(Slice last, long now) {
        throw new UnsupportedOperationException();
    }

    /** The watch has come to this version (a bookmark); one that goes back is left out of account. */
    public void reached(String collectionVersion) {
        throw new UnsupportedOperationException();
    }

    /** Another API is asked from now on: its versions say nothing of those seen so far, its first list replaces all. */
    public void moved() {
        throw new UnsupportedOperationException();
    }

    /** Where a watch is to go on from: the newest version that was told; null if a list has to be read first. */
    public String version() {
        throw new UnsupportedOperationException();
    }

    /** What the farm is to be taken for now, by name; the same list object as long as nothing changed. */
    public List<Server> servers(long now) {
        throw new UnsupportedOperationException();
    }

    /** What changed in {@link #servers} since this was asked last; costs what changed, not what there is. */
    public Changes changes(long now) {
        throw new UnsupportedOperationException();
    }

    /** When {@link #servers} may change by time alone; {@link Long#MAX_VALUE} if not. */
    public long nextChange() {
        throw new UnsupportedOperationException();
    }

    /** When a whole list should be read anew though nothing asks for it; {@link Long#MAX_VALUE} if not. */
    public long nextLook() {
        throw new UnsupportedOperationException();
    }

    /** What the operators should read since this was asked last; at most 16. */
    public List<Note> notes() {
        throw new UnsupportedOperationException();
    }

    /** All that must be remembered over a restart. */
    public Remembered remembered() {
        throw new UnsupportedOperationException();
    }

    /** Goes on from what was remembered; to be called before anything is told. */
    public void restore(Remembered remembered, long now) {
        throw new UnsupportedOperationException();
    }
}
