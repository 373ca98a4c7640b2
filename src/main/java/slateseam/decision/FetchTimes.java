package slateseam.decision;

/**
 * What fetches tell of the origin: how long they take lately, how long as a rule, and how many of them are lost. It
 * says what is slow; {@link OriginRate} decides what follows. Times are in nanoseconds.
 */
final class FetchTimes {
    private static final double SLOW = 2.5;
    private static final double CALM = 1.5;
    /** By a part of the aim: what is slower by less harms nobody. */
    private static final double RISE = 0.15;

    private static final double LOST_PART = 0.2;
    private static final double WEIGHT = 0.1;
    private static final double QUICKER = 0.05;
    private static final double SLOWER = 0.002;
    /** Part of what is left over usual after a cut that counts as usual from then on. */
    private static final double KEPT = 0.03;
    /** Fetches before which nothing is slow: nobody knows the usual time from fewer. */
    private static final int FEW = 10;
    /** Fetches that count alike in the usual time. */
    private static final int ALIKE = 30;

    private int known;
    private double recent;
    private double usual;
    private double lost;

    /** How long a fetch takes lately; 0 before the first. */
    double recent() {
        return recent;
    }

    /** A fetch was answered. */
    void took(long nanos) {
        known = Math.min(ALIKE + 1, known + 1);
        double alike = known <= ALIKE ? 1.0 / known : 0;
        recent += Math.max(WEIGHT, alike) * (nanos - recent);
        // Guards against a usual time that stays what the first few fetches took, quick by chance or as the origin had
        // nothing to do: all that came later would look like an overload, R would be cut and not grow again.
        double pace = Math.max(alike, recent < usual ? QUICKER : SLOWER);
        usual += pace * (recent - usual);
    }

    /** A fetch ended, and whether the origin let it down. */
    void ended(boolean isLost) {
        lost += LOST_PART / 4 * ((isLost ? 1 : 0) - lost);
    }

    /** Whether the origin is asked for more than it can do. */
    boolean overloaded(long aim) {
        boolean slow = known >= FEW && recent > SLOW * usual && recent - usual > RISE * aim;
        return lost > LOST_PART || slow;
    }

    /** Whether no queue stands at the origin. */
    boolean calm(long aim) {
        return recent < CALM * usual || recent - usual < RISE / 3 * aim;
    }

    /** What was seen so far has been acted upon: new fetches must show an overload. */
    void forget() {
        usual += KEPT * (recent - usual);
        recent = usual;
        lost = 0;
    }
}
