package slateseam.tier.agreement;

/** Operations that {@link Raft} needs from its environment: transport, stable storage, and the replicated state machine. */
public interface RaftPort {
    /** Sends a message. Delivery is not guaranteed. */
    void send(Voter to, Rpc message);

    /**
     * Writes a change to stable storage, after all earlier changes. Once the change is durable, the implementation must call
     * {@link Raft#persisted} with its number, either during this call or later.
     */
    void persist(long number, DurableState.Change change);

    /** Applies a committed entry to the state machine. Called once for each entry, in the order of the log. */
    void apply(long index, Entry entry);

    /** Returns the serialised state of the state machine after all entries applied so far. */
    byte[] state();

    /** Replaces the state of the state machine by a snapshot taken at an index, whatever was applied before. */
    void install(long index, byte[] state);

    /**
     * Returns the snapshot with a hash, or null if it is not available locally yet; the implementation then fetches it.
     *
     * @param length length of the snapshot in bytes
     * @param from number of the router to fetch the snapshot from
     */
    byte[] content(byte[] hash, int length, int from);

    /** Makes a snapshot available for other routers to fetch and returns its hash. */
    byte[] offer(byte[] state);

    /**
     * Reports that the durable state lacks something that this voter has already confirmed to others, so that the router must not go on
     * under the same voter identity.
     */
    void memoryLost(String why);
}
