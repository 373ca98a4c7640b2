package slateseam.standin.useragent;

import java.util.List;

/**
 * How the rate of all user agents goes up and down: as a sine, and by surges. Times are nanoseconds since the
 * beginning.
 *
 * @param swing by which part it goes up and down, 0 to below 1
 * @param periodNanos of that, over 0
 * @param phase where it begins, as a part of the period
 * @param surges spells in which they ask so many times as much
 */
public record RateFigures(double swing, long periodNanos, double phase, List<Surge> surges) {
    /** A spell of more or fewer requests; times are nanoseconds since the beginning. */
    public record Surge(long from, long until, double factor) {}

    /** Always the same. */
    public static final RateFigures STEADY = new RateFigures(0, 1, 0, List.of());

    /** Copies the list. */
    public RateFigures {
        surges = List.copyOf(surges);
    }

    /**
     * The factor of the mean rate at a time, surges left out; without them it is never over 1 + swing.
     *
     * @param waned whether surges that make the rate smaller count
     */
    double swung(long nanos, boolean waned) {
        double factor = 1 + swing * StrictMath.sin(2 * Math.PI * ((double) nanos / periodNanos + phase));
        for (Surge surge : surges) {
            if (waned && surge.factor < 1 && nanos >= surge.from && nanos < surge.until) {
                factor *= surge.factor;
            }
        }
        return factor;
    }
}
