package slateseam.tier.agreement;

import java.util.ArrayList;
import java.util.List;

/**
 * The state of a Raft voter that must survive restarts: its group and identity, its current term and vote, the latest snapshot, and the
 * log entries after the snapshot. All modifications are {@link Change} records, which are written to stable storage and replayed from it.
 */
public final class DurableState {
    /** One modification. Applying the same changes in the same order gives the same state. */
    public sealed interface Change {}

    /** Initialises the state of a voter, or makes the voter a member of a group; group 0 stands for no group. */
    public record Begin(long group, Voter seat) implements Change {}

    /** Sets the current term and the candidate voted for in that term; the vote is null if none was given. */
    public record Term(long term, Voter vote) implements Change {}

    /** Appends an entry at the end of the log. */
    public record Append(long index, Entry entry) implements Change {}

    /** Removes this entry and all later ones from the log. */
    public record Truncate(long index) implements Change {}

    /**
     * Replaces the log up to and including the given index by the state that results from its entries.
     *
     * @param index index of the last entry that the snapshot covers
     * @param term term of that entry
     * @param seats voters of the group as of that entry
     * @param state serialised state of the replicated state machine
     */
    public record Snapshot(long index, long term, List<Voter> seats, byte[] state) implements Change {}

    private long group;
    private Voter seat;
    private long term;
    private Voter vote;
    private long snapshotIndex;
    private long snapshotTerm;
    private List<Voter> snapshotSeats = List.of();
    private byte[] snapshotState = new byte[0];
    private List<Entry> entries = new ArrayList<>();

    /** Applies a change. */
    public void apply(Change change) {
        if (change instanceof Begin c) {
            group = c.group;
            seat = c.seat;
        } else if (change instanceof Term c) {
            term = c.term;
            vote = c.vote;
        } else if (change instanceof Append c) {
            if (c.index != lastIndex() + 1) {
                throw new IllegalStateException("entry " + c.index + " does not follow the last entry " + lastIndex());
            }
            entries.add(c.entry);
        } else if (change instanceof Truncate c) {
            entries = new ArrayList<>(entries.subList(0, (int) (c.index - snapshotIndex - 1)));
        } else if (change instanceof Snapshot c) {
            boolean keepsTail = c.index <= lastIndex() && c.index > snapshotIndex && termAt(c.index) == c.term;
            entries = keepsTail
                    ? new ArrayList<>(entries.subList((int) (c.index - snapshotIndex), entries.size()))
                    : new ArrayList<>();
            snapshotIndex = c.index;
            snapshotTerm = c.term;
            snapshotSeats = List.copyOf(c.seats);
            snapshotState = c.state;
        }
    }

    long group() {
        return group;
    }

    /** Returns the voter that this state belongs to, or null before the first {@link Begin}. */
    public Voter seat() {
        return seat;
    }

    long term() {
        return term;
    }

    Voter vote() {
        return vote;
    }

    long snapshotIndex() {
        return snapshotIndex;
    }

    long snapshotTerm() {
        return snapshotTerm;
    }

    List<Voter> snapshotSeats() {
        return snapshotSeats;
    }

    byte[] snapshotState() {
        return snapshotState;
    }

    long lastIndex() {
        return snapshotIndex + entries.size();
    }

    long lastTerm() {
        return termAt(lastIndex());
    }

    /** Returns the term of an entry, or -1 if the entry is neither in the log nor the last one of the snapshot. */
    long termAt(long index) {
        return index == snapshotIndex
                ? snapshotTerm
                : index > snapshotIndex && index <= lastIndex() ? entry(index).term() : -1;
    }

    Entry entry(long index) {
        return entries.get((int) (index - snapshotIndex - 1));
    }

    /** Returns the voters according to the latest membership entry, committed or not. */
    List<Voter> seats() {
        long at = seatsIndex();
        return at == snapshotIndex ? snapshotSeats : Voter.decodeAll(entry(at).body());
    }

    /** Returns the index of the latest membership entry, or that of the snapshot if the log holds none. */
    long seatsIndex() {
        for (long i = lastIndex(); i > snapshotIndex; i--) {
            if (entry(i).kind() == Entry.Kind.SEATS) {
                return i;
            }
        }
        return snapshotIndex;
    }

    /** Returns the voters according to the latest membership entry at or before an index. */
    List<Voter> seatsAsOf(long index) {
        for (long i = index; i > snapshotIndex; i--) {
            if (entry(i).kind() == Entry.Kind.SEATS) {
                return Voter.decodeAll(entry(i).body());
            }
        }
        return snapshotSeats;
    }
}
