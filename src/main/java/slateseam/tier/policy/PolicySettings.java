package slateseam.tier.policy;

import java.util.Set;
import slateseam.tier.agreement.RaftSettings;

/**
 * Settings of one router for the shared policy of the tier. Times are in nanoseconds.
 *
 * @param me the number of this router
 * @param routers the number of configured routers
 * @param voters the routers that are to vote in the replicated log
 * @param leaseNanos the maximum age of a router's knowledge at which it may still serve
 * @param pollNanos the interval between two polls
 * @param raft the settings of the replicated log
 */
public record PolicySettings(
        int me, int routers, Set<Integer> voters, long leaseNanos, long pollNanos, RaftSettings raft) {
    private static final long MILLI = 1_000_000L;

    /** Returns the default settings. */
    public static PolicySettings usual(int me, int routers, Set<Integer> voters) {
        return new PolicySettings(me, routers, voters, 2_000 * MILLI, 100 * MILLI, RaftSettings.USUAL);
    }

    /**
     * Returns the time from a commit until the version takes effect. It exceeds every lease granted before the
     * commit, even at a router whose clock runs one percent slow.
     */
    public long holdNanos() {
        return leaseNanos + leaseNanos / 100 + 100 * MILLI;
    }

    /** Returns how long a proposed version waits for a router that is alive but does not answer. */
    long decisionTimeoutNanos() {
        return 2 * leaseNanos;
    }
}
