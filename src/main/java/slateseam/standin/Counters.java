package slateseam.standin;

/** The counts of one stand-in since it was made. */
public final class Counters {
    private final long[] counts = new long[Counter.values().length];

    Counters() {}

    void add(Counter tally) {
        counts[tally.ordinal()]++;
    }

    /** So many of them. */
    public long of(Counter tally) {
        return counts[tally.ordinal()];
    }
}
