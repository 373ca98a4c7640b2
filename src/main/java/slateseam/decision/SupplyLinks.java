package slateseam.decision;

import java.util.Set;
import java.util.TreeSet;

/**
 * The links on which a router exchanges supply in addition to its two ring neighbours: links to the routers at
 * distances that are powers of two along the ring, in both directions. Any two routers are then about log2(n) links
 * apart, so that supply follows demand in a number of rounds that grows with the logarithm of the ring's length and
 * not with its square.
 *
 * @param on whether there are such links; if not, partners are neither asked nor answered
 * @param pauseNanos the time between two exchanges on a link, in nanoseconds
 */
public record SupplyLinks(boolean on, long pauseNanos) {
    /** Supply is exchanged with ring neighbours only. */
    public static final SupplyLinks OFF = new SupplyLinks(false, 0);

    /** The shortest distance of a link; ring neighbours are at 1. */
    private static final int MIN_DISTANCE = 2;
    /**
     * Factor by which the pause is longer for a partner that has not answered since this router started, because it
     * has no links or is away.
     */
    private static final int UNANSWERED_PAUSE_FACTOR = 8;

    /** Weight of the learned R of all partners together. */
    private static final double TOTAL_RATE_WEIGHT = 0.5;

    /** Returns the partners of a router, without its ring neighbours. The relation is symmetric. */
    Set<Integer> partners(int me, int routers) {
        Set<Integer> partners = new TreeSet<>();
        for (int distance = MIN_DISTANCE; on && distance < routers; distance *= 2) {
            partners.add(Math.floorMod(me + distance, routers));
            partners.add(Math.floorMod(me - distance, routers));
        }
        for (int notLinked : new int[] {me, Math.floorMod(me + 1, routers), Math.floorMod(me - 1, routers)}) {
            partners.remove(notLinked);
        }
        return partners;
    }

    /**
     * Returns the pause between two exchanges with a partner, in nanoseconds.
     *
     * @param answered whether the partner has answered since this router started
     */
    long pause(boolean answered) {
        return answered ? pauseNanos : UNANSWERED_PAUSE_FACTOR * pauseNanos;
    }

    /** Returns the weight of one partner's learned R: all partners together weigh as much as both ring neighbours. */
    double rateWeight(int links) {
        return TOTAL_RATE_WEIGHT / links;
    }

    /**
     * Returns the fraction of the fill-ratio gap that one exchange moves: 1/(2d) as in the paper that the exchange
     * follows, where d links exchange supply at the same time. Guards against transfers on several links that all
     * respond to the same gap and together overshoot.
     */
    static double transferFraction(int links) {
        return 1.0 / (2 * links);
    }
}
