package slateseam.tier.agreement;

/** What the log's protocol asks of whoever carries it. */
public interface RaftPort {
    /** Sends a message; it may be lost. */
    void send(Voter to, Rpc message);

    /**
     * Writes a change to where it lasts, behind those before it. Once it is there, {@link Raft#persisted} is to be called with
     * its number, at once or later.
     */
    void persist(long number, DurableState.Change change);

    /** An entry is committed; each is told once, in order. */
    void apply(long index, Entry entry);

    /** What all entries that were applied came to. */
    byte[] state();

    /** Goes on from there, whatever was applied before. */
    void install(long index, byte[] state);

    /** The state of this hash; null while it is not here, and then it is to be got from that router. */
    byte[] content(byte[] hash, int length, int from);

    /** The hash of a state, under which others get it here. */
    byte[] offer(byte[] state);

    /** What this one has of its memory is less than it once said: it must not go on as the same seat. */
    void memoryLost(String why);
}
