package slateseam.simulate;

import java.util.List;
import java.util.Map;
import slateseam.simulate.check.Breach;
import slateseam.simulate.check.Rule;
import slateseam.simulate.scenario.Day;
import slateseam.simulate.scenario.Kept;
import slateseam.standin.useragent.Service;

/**
 * What a day gave.
 *
 * @param day what was played
 * @param begin when it began, in Unix time in nanoseconds
 * @param nanos how long it took on the virtual clock
 * @param hash of all happenings; the same whenever the same day is played
 * @param happenings on the network
 * @param breaches the first rules that were broken, in their order
 * @param counts how often each rule was broken
 * @param service what the user agents got
 * @param supplies how the routers divided the origin's budget
 * @param logged how many lines of each kind the routers' logs have
 * @param tallies what servers and origin counted, by {@code servers} or {@code origin} and the count's name
 * @param asked which requests were asked
 */
record Result(
        Day day,
        long begin,
        long nanos,
        long hash,
        long happenings,
        List<Breach> breaches,
        Map<Rule, Long> counts,
        Service service,
        SupplyWatch.Summary supplies,
        Map<String, Long> logged,
        Map<String, Long> tallies,
        Kept asked) {
    /** Whether no rule was broken. */
    boolean isSound() {
        return breaches.isEmpty();
    }

    /** The hash as text. */
    String hashText() {
        return String.format("%016x", hash);
    }
}
