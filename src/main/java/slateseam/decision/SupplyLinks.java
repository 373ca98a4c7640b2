package slateseam.decision;

import java.util.Set;
import java.util.TreeSet;

/**
 * With whom a router exchanges supply beside its two ring neighbours: the routers at distances that are powers of two
 * along the ring, in both directions. Any two routers are then some log2(n) links apart, so that supply follows demand
 * in a number of rounds that grows with the logarithm of the ring's length, and not with its square.
 *
 * @param on whether there are such links; off they are neither asked nor answered
 * @param pauseNanos the time between two exchanges on a link
 */
public record SupplyLinks(boolean on, long pauseNanos) {
    /** Ring neighbours alone. */
    public static final SupplyLinks OFF = new SupplyLinks(false, 0);

    /** The shortest distance of a link; ring neighbours are at 1. */
    private static final int SHORTEST = 2;
    /** A partner that has not answered in this life, as its links are off or it is away, is asked so much less often. */
    private static final int UNANSWERED = 8;

    private static final double RATE_WEIGHT = 0.5;

    /** The partners of a router, without its ring neighbours. The relation is symmetric. */
    Set<Integer> partners(int me, int routers) {
        Set<Integer> partners = new TreeSet<>();
        for (int distance = SHORTEST; on && distance < routers; distance *= 2) {
            partners.add(Math.floorMod(me + distance, routers));
            partners.add(Math.floorMod(me - distance, routers));
        }
        for (int notLinked : new int[] {me, Math.floorMod(me + 1, routers), Math.floorMod(me - 1, routers)}) {
            partners.remove(notLinked);
        }
        return partners;
    }

    /** How often a partner is asked, as a pause. */
    long pause(boolean answered) {
        return answered ? pauseNanos : UNANSWERED * pauseNanos;
    }

    /** What a partner's learned budget weighs: all of them together as much as both ring neighbours. */
    double rateWeight(int links) {
        return RATE_WEIGHT / links;
    }

    /**
     * The paper's 1/(2d), where d links exchange supply at once: the part of the gap that one exchange moves. Guards
     * against moves on several links that all answer the same gap and overshoot together.
     */
    static double movedPart(int links) {
        return 1.0 / (2 * links);
    }
}
