package slateseam.decision;

import java.util.SplittableRandom;

/**
 * Sheds load while attempts at cache servers fail or are slow. Requests beyond their tenant's share are shed first and
 * at a lower failure ratio. The admission level is raised additively and cut multiplicatively, once in each interval.
 */
final class AdmissionControl {
    /**
     * The admission level at which all requests are admitted. Between 1 and 2, all requests within their tenant's share
     * are admitted and the fraction above 1 of those beyond; below 1, the level is the admitted fraction of requests
     * within their share.
     */
    private static final double ALL = 2;

    /** The admission level at which requests within their tenant's share are admitted and no others. */
    private static final double ALL_WITHIN_SHARE = 1;
    /** The lowest admission level. */
    private static final double LEAST_ADMITTED = 0.3;
    /** The factor by which the admission level is cut in an interval with overload. */
    private static final double CUT = 0.8;
    /** The amount by which the admission level is raised in an interval without overload. */
    private static final double GROWTH = 0.08;
    /** The ratio of failed attempts above which requests beyond their tenant's share are shed. */
    private static final double OVERLOAD = 0.1;
    /** The ratio of failed attempts above which requests within their tenant's share are shed too. */
    private static final double COLLAPSE = 0.3;
    /** The fraction of the counts that is carried over to the next interval. */
    private static final double KEPT = 0.5;

    private final SplittableRandom random;
    private double tried;
    private double bad;
    private double admitted = ALL;

    AdmissionControl(SplittableRandom random) {
        this.random = random;
    }

    /**
     * Draws at random whether a request is shed, so that in an overload the admitted requests are still served in time.
     */
    boolean sheds(boolean overShare) {
        return random.nextDouble() >= (overShare ? admitted - ALL_WITHIN_SHARE : admitted);
    }

    /**
     * Counts an attempt at a cache server.
     *
     * @param wentWrong whether the attempt took too long or was not served
     */
    void attempted(boolean wentWrong) {
        tried++;
        if (wentWrong) {
            bad++;
        }
    }

    /** Adjusts the admission level to the failure ratio of the interval that ends. */
    void endInterval() {
        double most = bad > OVERLOAD * tried + 1 ? ALL_WITHIN_SHARE : ALL;
        if (bad > COLLAPSE * tried + 1) {
            admitted = Math.max(LEAST_ADMITTED, admitted * CUT);
        } else if (admitted > most) {
            admitted = Math.max(most, admitted * CUT);
        } else {
            admitted = Math.min(most, admitted + GROWTH);
        }
        tried *= KEPT;
        bad *= KEPT;
    }
}
