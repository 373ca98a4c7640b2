package slateseam.simulate;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import slateseam.simulate.check.Rule;

/** What many days gave together. */
final class Summary {
    private static final double SECOND = 1e9;

    private final Map<Rule, Integer> broken = new TreeMap<>();
    private int seeds;
    private int unsound;
    private double virtualSeconds;
    private long happenings;
    private double service;
    private double worst = 1;
    private long worstSeed;

    void add(Result result) {
        seeds++;
        unsound += result.isSound() ? 0 : 1;
        result.counts().keySet().forEach(rule -> broken.merge(rule, 1, Integer::sum));
        virtualSeconds += result.nanos() / SECOND;
        happenings += result.happenings();
        double served = result.service().whole().service();
        service += served;
        if (served < worst || seeds == 1) {
            worst = served;
            worstSeed = result.day().seed();
        }
    }

    int seeds() {
        return seeds;
    }

    boolean isSound() {
        return unsound == 0;
    }

    String text(double seconds, int threads) {
        return String.format(
                Locale.ROOT,
                "%d seeds, %d broke a rule%s; service %.3f on the mean, %.3f at the least (seed %d); "
                        + "%.0f virtual seconds and %d happenings in %.1f s on %d threads, "
                        + "%.1f virtual seconds a second and thread",
                seeds,
                unsound,
                broken.isEmpty() ? "" : " " + broken,
                service / seeds,
                worst,
                worstSeed,
                virtualSeconds,
                happenings,
                seconds,
                threads,
                virtualSeconds / seconds / threads);
    }
}
