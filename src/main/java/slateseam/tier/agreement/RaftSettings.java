package slateseam.tier.agreement;

/**
 * Parameters of the Raft protocol.
 *
 * @param periodNanos interval between heartbeats
 * @param electionPeriods minimum election timeout in heartbeat intervals; the timeout is drawn between this and twice as many
 * @param keptEntries number of applied entries that are kept in the log before a snapshot replaces them
 * @param preVote whether a pre-vote precedes an election and voters that hear a leader refuse to vote; off only in tests that explore
 *     all message orders
 */
public record RaftSettings(long periodNanos, int electionPeriods, int keptEntries, boolean preVote) {
    /** Default parameters: heartbeats every 100 ms, election timeouts of 600 to 1200 ms, 256 entries kept, with pre-vote. */
    public static final RaftSettings USUAL = new RaftSettings(100_000_000L, 6, 256, true);

    long electionNanos() {
        return periodNanos * electionPeriods;
    }
}
