package slateseam.router.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Settles the list of the farm from what the API tells of slices. Not thread-safe; every time is Unix nanoseconds,
 * handed in, and never goes back.
 *
 * <p>Whole lists are to be read so that they are no older than what was told before (without a resourceVersion); one
 * that is older all the same changes only what it knows better.
 */
public final class Membership {
    /** What changed since it was asked last: servers that are new or other than they were, and those that left. */
    public record Changes(List<Server> changed, List<Server> gone) {}

    private final MembershipSettings settings;
    private final Trim trim;
    private final Notes notes = new Notes();
    private final Position position;
    private final Deletions deletions;
    private final Table table;
    private final Map<String, Part> parts = new LinkedHashMap<>();
    /** Whether anything was ever listed or restored: servers of the very first list have long been there. */
    private boolean begun;
    /** Whether a slice found no room since the last list. */
    private boolean refused;

    private boolean wantsLook;

    /** Creates a membership that knows nothing but a fixed origin. */
    public Membership(MembershipSettings settings) {
        this.settings = settings;
        trim = new Trim(settings);
        position = new Position(settings);
        deletions = new Deletions(settings.bounds().deleted());
        table = new Table(settings, notes);
    }

    /** A whole list was read: every slice there is, at a collection version (the list's resourceVersion). */
    public void listed(List<Slice> slices, String collectionVersion, long now) {
        Position.Standing standing = position.listed(collectionVersion, now);
        boolean whole = standing != Position.Standing.BEHIND;
        long at = Position.number(collectionVersion);
        if (standing == Position.Standing.ANEW || whole && settings.comparable()) {
            // It knows better than a list before it that told of less by mistake; what is older is held off by the
            // floor.
            deletions.clear();
        }
        if (!whole) {
            notes.add("farm-behind", "a list at version " + collectionVersion + " is older than what was told before");
        }
        refused &= !whole;
        wantsLook &= !whole;
        Map<String, Slice> newest = new HashMap<>();
        slices.forEach(slice -> newest.merge(slice.name(), slice, (a, b) -> a.version() > b.version() ? a : b));
        for (Part part : new ArrayList<>(parts.values())) {
            Slice slice = part.slice();
            // A list that is behind says nothing of slices that came after it.
            if (!newest.containsKey(slice.name()) && (whole || slice.version() <= at)) {
                remove(part, Math.max(slice.version(), standing == Position.Standing.ANEW ? -1 : at));
            }
        }
        List<Part> aside = new ArrayList<>();
        Set<String> seen = new HashSet<>();
        for (Slice slice : slices) {
            if (newest.get(slice.name()) == slice && seen.add(slice.name())) {
                boolean taken = standing == Position.Standing.ANEW || isNewer(slice, whole);
                Part part = taken ? put(slice, now) : parts.get(slice.name());
                if (part != null && (!part.hasPort() || parts.get(slice.name()) != part)) {
                    aside.add(part);
                }
            }
        }
        if (whole) {
            table.recount();
            aside.forEach(part -> table.drain(part, now));
        }
        begun = true;
        table.settle(whole, now);
    }

    /** A slice was added or changed. */
    public void changed(Slice slice, long now) {
        position.reached(slice.version());
        if (isNewer(slice, false)) {
            put(slice, now);
            table.settle(false, now);
        } else if (!position.isBefore(slice.version())) {
            // It comes late, but may be the newest to tell that a server drains which is also in another slice.
            table.drain(new Part(trim.slice(slice), settings), now);
            table.settle(false, now);
        }
    }

    /** A slice was deleted; the version is that of the deletion. */
    public void deleted(String name, String uid, long version, long now) {
        position.reached(version);
        Part part = parts.get(name);
        boolean known = part != null && part.slice().uid().equals(uid);
        // Of another uid and older it was the one before, and this one came after it.
        if (part != null && (known || version > part.slice().version())) {
            remove(part, Math.max(version, part.slice().version()));
            table.settle(false, now);
            wantsLook |= refused;
        } else if (part == null) {
            forget(name, uid, version);
        }
    }

    /** A slice was deleted and this was its last state, at the version of the deletion; what drains in it drains. */
    public void deleted(Slice last, long now) {
        if (parts.containsKey(last.name())) {
            changed(last, now);
        } else if (!position.isBefore(last.version())) {
            table.drain(new Part(trim.slice(last), settings), now);
            table.settle(false, now);
        }
        deleted(last.name(), last.uid(), last.version(), now);
    }

    private boolean isNewer(Slice slice, boolean listed) {
        Part part = parts.get(slice.name());
        if (part != null) {
            return slice.version() > part.slice().version();
        }
        return !deletions.covers(slice) && (listed || !position.isBefore(slice.version()));
    }

    /** Takes a slice in; what it says is added before the older view is taken out, so that nobody leaves in between. */
    private Part put(Slice told, long now) {
        Part part = new Part(trim.slice(told), settings);
        Part old = parts.get(told.name());
        if (old == null && parts.size() >= settings.bounds().slices()) {
            if (!refused) {
                notes.add("farm-bound", "there are " + parts.size() + " slices; a further one is not taken in");
            }
            refused = true;
            table.drain(part, now);
            return part;
        }
        deletions.remove(told.name());
        if (old != null) {
            table.remove(old);
        }
        table.add(part, !begun, now);
        parts.put(told.name(), part);
        return part;
    }

    private void remove(Part part, long version) {
        parts.remove(part.slice().name());
        table.remove(part);
        forget(part.slice().name(), part.slice().uid(), version);
    }

    private void forget(String name, String uid, long version) {
        position.raise(deletions.add(name, uid, version));
    }

    /** The watch has come to this version (a bookmark); one that goes back is left out of account. */
    public void reached(String collectionVersion) {
        position.reached(collectionVersion);
    }

    /** Another API is asked from now on: its versions say nothing of those seen so far, its first list replaces all. */
    public void moved() {
        position.moved();
    }

    /** Where a watch is to go on from: the newest version that was told; null if a list has to be read first. */
    public String version() {
        return position.text();
    }

    /** What the farm is to be taken for now, by name; the same list object as long as nothing changed. */
    public List<Server> servers(long now) {
        tick(now);
        return table.roster().list();
    }

    /** What changed in {@link #servers} since this was asked last; costs what changed, not what there is. */
    public Changes changes(long now) {
        tick(now);
        return table.roster().changes();
    }

    private void tick(long now) {
        if (now < table.nextChange() || !table.tick(now)) {
            return;
        }
        for (Part part : new ArrayList<>(parts.values())) {
            if (part.missed) {
                Part again = new Part(part.slice(), settings);
                table.remove(part);
                table.add(again, false, now);
                parts.put(part.slice().name(), again);
            }
        }
        table.settle(false, now);
    }

    /** When {@link #servers} may change by time alone; {@link Long#MAX_VALUE} if not. */
    public long nextChange() {
        return table.nextChange();
    }

    /**
     * When a whole list should be read anew though nothing else asks for it; {@link Long#MAX_VALUE} if not. It may lie
     * in the past until a list settles it: whoever reads lists keeps some time between them.
     */
    public long nextLook() {
        return wantsLook ? 0 : Math.min(position.nextLook(), table.nextLook());
    }

    /** What the operators should read since this was asked last; at most 16. */
    public List<Note> notes() {
        return notes.take();
    }

    /** All that must be remembered over a restart. */
    public Remembered remembered() {
        return new Remembered(
                position.text(),
                position.floor(),
                parts.values().stream().map(Part::slice).toList(),
                deletions.all(),
                table.remembered());
    }

    /** Goes on from what was remembered; to be called before anything is told. */
    public void restore(Remembered remembered, long now) {
        position.restore(remembered.version(), remembered.floor());
        remembered.deleted().forEach(d -> deletions.add(d.name(), d.uid(), d.version()));
        for (Slice slice : remembered.slices()) {
            put(slice, now);
        }
        table.restore(remembered.servers(), now);
        begun = remembered.version() != null;
        table.settle(false, now);
    }
}
