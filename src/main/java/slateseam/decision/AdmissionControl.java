package slateseam.decision;

import java.util.SplittableRandom;

/** Sheds load while attempts at cache servers go wrong: work beyond tenants' shares first, and early. */
final class AdmissionControl {
    /** Admits all work; at 1 all within its share and nothing beyond. */
    private static final double ALL = 2;

    private static final double ALL_WITHIN_SHARE = 1;
    private static final double LEAST_ADMITTED = 0.3;
    /** Of what is admitted, in an interval with overload. */
    private static final double CUT = 0.8;
    /** In an interval without. */
    private static final double GROWTH = 0.08;
    /** The part of attempts gone wrong from which work beyond shares is shed. */
    private static final double OVERLOAD = 0.1;
    /** The part from which all work is. */
    private static final double COLLAPSE = 0.3;
    /** Of the counts, kept over the end of an interval. */
    private static final double KEPT = 0.5;

    private final SplittableRandom random;
    private double tried;
    private double bad;
    private double admitted = ALL;

    AdmissionControl(SplittableRandom random) {
        this.random = random;
    }

    /** Guards against an overload that serves nobody: draws whether a request is turned away. */
    boolean sheds(boolean overShare) {
        return random.nextDouble() >= (overShare ? admitted - ALL_WITHIN_SHARE : admitted);
    }

    /** Counts an attempt at a cache server, and whether it took too long or was not served. */
    void attempted(boolean wentWrong) {
        tried++;
        if (wentWrong) {
            bad++;
        }
    }

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
