package slateseam.simulate;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import slateseam.simulate.check.Supplies;
import slateseam.standin.Clockwork;

/** Samples how far the routers' supplies add up to the budget. */
final class SupplyWatch {
    private static final long EVERY_NANOS = 250_000_000L;
    /** Sums are kept in thousandths of the budget. */
    private static final int THOUSANDTHS = 1000;

    private static final int DIGITS = 3;

    /**
     * What the samples say.
     *
     * @param samples how many
     * @param least the least sum of the routers' parts; 1 is the whole budget
     * @param median half of the sums were at least so high
     * @param most the highest sum
     * @param fetchesLast what the routers could fetch together at the last sample, a second
     * @param imbalance at each sample the part of the budget that lies where the demand does not, 0 to 1
     */
    record Summary(
            long samples, double least, double median, double most, double fetchesLast, List<Double> imbalance) {}

    private final Clockwork clock;
    private final Supplies supplies;
    private final Histogram sums = new Histogram(DIGITS);
    private final List<Double> imbalance = new ArrayList<>();
    private double fetches;
    private long until;

    SupplyWatch(Clockwork clock, Supplies supplies) {
        this.clock = clock;
        this.supplies = supplies;
        sums.setAutoResize(true);
    }

    void start(long end) {
        until = end;
        clock.at(clock.now() + EVERY_NANOS, this::sample);
    }

    private void sample() {
        if (clock.now() > until) {
            return;
        }
        sums.recordValue(Math.max(0, Math.round(THOUSANDTHS * supplies.sum())));
        fetches = supplies.fetches();
        imbalance.add(supplies.imbalance());
        clock.at(clock.now() + EVERY_NANOS, this::sample);
    }

    Summary summary() {
        return new Summary(
                sums.getTotalCount(),
                (double) sums.getMinValue() / THOUSANDTHS,
                (double) sums.getValueAtPercentile(50) / THOUSANDTHS,
                (double) sums.getMaxValue() / THOUSANDTHS,
                fetches,
                List.copyOf(imbalance));
    }
}
