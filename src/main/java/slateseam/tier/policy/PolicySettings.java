package slateseam.tier.policy;

import java.util.Set;
import slateseam.tier.agreement.RaftSettings;

/**
 * What one router is told of the tier's policy at its start. Times are nanoseconds.
 *
 * @param me its number
 * @param routers how many there are
 * @param voters the routers that are to vote
 * @param leaseNanos for so long one may serve by what it knew
 * @param pollNanos between two questions to another router
 * @param raft the figures of the log
 */
public record PolicySettings(
        int me, int routers, Set<Integer> voters, long leaseNanos, long pollNanos, RaftSettings raft) {
    private static final long MILLI = 1_000_000L;

    /** The usual figures. */
    public static PolicySettings usual(int me, int routers, Set<Integer> voters) {
        return new PolicySettings(me, routers, voters, 2_000 * MILLI, 100 * MILLI, RaftSettings.USUAL);
    }

    /** From a commit until the version holds: longer than any lease that was got before, on a clock that is a hundredth slow. */
    public long holdNanos() {
        return leaseNanos + leaseNanos / 100 + 100 * MILLI;
    }

    /** So long a change waits for one that is alive and says nothing. */
    long patienceNanos() {
        return 2 * leaseNanos;
    }
}
