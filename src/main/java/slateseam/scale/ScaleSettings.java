package slateseam.scale;

import java.util.List;

/**
 * What a run is to play. Times are in seconds.
 *
 * @param hollow routers in this process
 * @param real routers, each a process of its own
 * @param servers listed by discovery; none of them is there, as nobody asks
 * @param threads on which the hollow routers live
 * @param windowSeconds for which real routers' cost is measured
 * @param turns so often each kind of real router is measured: all control, the ring alone, neither
 * @param changes of policy that are timed in calm
 * @param deaths that are timed in calm
 * @param faults one phase each
 * @param faultSeconds how long such a phase lasts
 * @param group how many routers are in a group that goes at once
 * @param replacements in a phase of replacements
 * @param policy whether routers share a policy
 * @param joinSeconds within which all must have seen all
 * @param mostSeconds of the whole run; beyond it, it is given up
 */
record ScaleSettings(
        int hollow,
        int real,
        int servers,
        int threads,
        double windowSeconds,
        int turns,
        int changes,
        int deaths,
        List<ScaleFault> faults,
        double faultSeconds,
        int group,
        int replacements,
        boolean policy,
        double joinSeconds,
        double mostSeconds) {
    /** Routers that may vote, at the most. */
    private static final int VOTERS = 5;

    int routers() {
        return hollow + real;
    }

    /** The number of a real router: the first is 0, which votes, the others are spread evenly among the hollow ones. */
    int numberOfReal(int which) {
        return which * routers() / real;
    }

    boolean isReal(int number) {
        for (int which = 0; which < real; which++) {
            if (numberOfReal(which) == number) {
                return true;
            }
        }
        return false;
    }

    int voters() {
        return Math.min(VOTERS, routers());
    }

    /** Hollow routers that do not vote, which faults may befall. */
    boolean isExpendable(int number) {
        return number >= voters() && !isReal(number);
    }
}
