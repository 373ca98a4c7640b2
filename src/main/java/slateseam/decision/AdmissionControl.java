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
    private static final double ADMIT_ALL = 2;

    /** The admission level at which requests within their tenant's share are admitted and no others. */
    private static final double ADMIT_WITHIN_SHARE = 1;
    /** The lowest admission level. */
    private static final double MIN_ADMITTED = 0.3;
    /** The factor by which the admission level is cut in an interval with overload. */
    private static final double CUT_FACTOR = 0.8;
    /** The amount by which the admission level is raised in an interval without overload. */
    private static final double INCREASE = 0.08;
    /** The ratio of failed attempts above which requests beyond their tenant's share are shed. */
    private static final double OVERLOAD_RATIO = 0.1;
    /** The ratio of failed attempts above which requests within their tenant's share are shed too. */
    private static final double COLLAPSE_RATIO = 0.3;
    /** The fraction of the counts that is carried over to the next interval. */
    private static final double CARRY_OVER = 0.5;

    private final SplittableRandom random;
    private double attempts;
    private double failures;
    private double admitted = ADMIT_ALL;

    AdmissionControl(SplittableRandom random) {
        this.random = random;
    }

    /**
     * Draws at random whether a request is shed, so that in an overload the admitted requests are still served in time.
     */
    boolean shouldShed(boolean overShare) {
        return random.nextDouble() >= (overShare ? admitted - ADMIT_WITHIN_SHARE : admitted);
    }

    /**
     * Counts an attempt at a cache server.
     *
     * @param failed whether the attempt took too long or was not served
     */
    void attempted(boolean failed) {
        attempts++;
        if (failed) {
            failures++;
        }
    }

    /** Adjusts the admission level to the failure ratio of the interval that ends. */
    void endInterval() {
        double ceiling = failures > OVERLOAD_RATIO * attempts + 1 ? ADMIT_WITHIN_SHARE : ADMIT_ALL;
        if (failures > COLLAPSE_RATIO * attempts + 1) {
            admitted = Math.max(MIN_ADMITTED, admitted * CUT_FACTOR);
        } else if (admitted > ceiling) {
            admitted = Math.max(ceiling, admitted * CUT_FACTOR);
        } else {
            admitted = Math.min(ceiling, admitted + INCREASE);
        }
        attempts *= CARRY_OVER;
        failures *= CARRY_OVER;
    }
}
