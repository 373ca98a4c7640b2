package slateseam.tier.agreement;

import java.util.ArrayList;
import java.util.List;

/** What one who votes must never forget: its seat, term and vote, and its log from a snapshot on. */
public final class DurableState {
    /** One change of it; whoever applies all in their order has the same. */
    public sealed interface Change {}

    /** A memory begins, or comes into a group. */
    public record Begin(long group, Voter seat) implements Change {}

    /** A term, and for whom the vote in it is; null while it is for nobody. */
    public record Term(long term, Voter vote) implements Change {}

    /** An entry at the end of the log. */
    public record Append(long index, Entry entry) implements Change {}

    /** From this entry on the log is void. */
    public record Cut(long index) implements Change {}

    /** What all entries up to this one came to, in their place. */
    public record Snapshot(long index, long term, List<Voter> seats, byte[] state) implements Change {}

    private long group;
    private Voter seat;
    private long term;
    private Voter vote;
    private long baseIndex;
    private long baseTerm;
    private List<Voter> baseSeats = List.of();
    private byte[] baseState = new byte[0];
    private List<Entry> entries = new ArrayList<>();

    /** Takes a change. */
    public void apply(Change change) {
        if (change instanceof Begin c) {
            group = c.group;
            seat = c.seat;
        } else if (change instanceof Term c) {
            term = c.term;
            vote = c.vote;
        } else if (change instanceof Append c) {
            if (c.index != lastIndex() + 1) {
                throw new IllegalStateException("entry " + c.index + " behind " + lastIndex());
            }
            entries.add(c.entry);
        } else if (change instanceof Cut c) {
            entries = new ArrayList<>(entries.subList(0, (int) (c.index - baseIndex - 1)));
        } else if (change instanceof Snapshot c) {
            boolean goesOn = c.index <= lastIndex() && c.index > baseIndex && termAt(c.index) == c.term;
            entries = goesOn
                    ? new ArrayList<>(entries.subList((int) (c.index - baseIndex), entries.size()))
                    : new ArrayList<>();
            baseIndex = c.index;
            baseTerm = c.term;
            baseSeats = List.copyOf(c.seats);
            baseState = c.state;
        }
    }

    long group() {
        return group;
    }

    /** Whose memory this is; null while it has not begun. */
    public Voter seat() {
        return seat;
    }

    long term() {
        return term;
    }

    Voter vote() {
        return vote;
    }

    long baseIndex() {
        return baseIndex;
    }

    long baseTerm() {
        return baseTerm;
    }

    List<Voter> baseSeats() {
        return baseSeats;
    }

    byte[] baseState() {
        return baseState;
    }

    long lastIndex() {
        return baseIndex + entries.size();
    }

    long lastTerm() {
        return termAt(lastIndex());
    }

    /** The term of an entry; -1 for one that is not there. */
    long termAt(long index) {
        return index == baseIndex
                ? baseTerm
                : index > baseIndex && index <= lastIndex() ? entry(index).term() : -1;
    }

    Entry entry(long index) {
        return entries.get((int) (index - baseIndex - 1));
    }

    /** Who votes by the newest entry that says so, committed or not. */
    List<Voter> seats() {
        long at = seatsAt();
        return at == baseIndex ? baseSeats : Voter.all(entry(at).body());
    }

    /** The entry that says so; the snapshot's if none does. */
    long seatsAt() {
        for (long i = lastIndex(); i > baseIndex; i--) {
            if (entry(i).kind() == Entry.Kind.SEATS) {
                return i;
            }
        }
        return baseIndex;
    }

    /** The same as of an entry. */
    List<Voter> seatsAsOf(long index) {
        for (long i = index; i > baseIndex; i--) {
            if (entry(i).kind() == Entry.Kind.SEATS) {
                return Voter.all(entry(i).body());
            }
        }
        return baseSeats;
    }
}
