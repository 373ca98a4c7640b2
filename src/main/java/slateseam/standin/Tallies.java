package slateseam.standin;

/** The counts of one stand-in since it was made. */
public final class Tallies {
    private final long[] counts = new long[Tally.values().length];

    Tallies() {}

    void add(Tally tally) {
        counts[tally.ordinal()]++;
    }

    /** So many of them. */
    public long of(Tally tally) {
        return counts[tally.ordinal()];
    }
}
