package slateseam.router.connections.useragents;

/**
 * How soon connections of one kind are used again, as far as it has been seen: for each stretch of idle time how many came
 * to its beginning and how many were used within it. Those that were closed in between count up to there, so that a router
 * that closes them early does not take them for useless. Old sights fade as new ones come, so that a mix that turns over
 * is learned anew within some hundred connections.
 */
final class Returns {
    /** Stretches: up to 1 ms, then each twice as long; the last begins at 16 s, and nobody is kept for so long. */
    static final int STRETCHES = 16;

    private static final long FIRST_NANOS = 1_000_000L;
    private static final double SECOND = 1e9;
    /** Sights are halved when so many lie in the first stretch. */
    private static final double FADE_AT = 200;

    private final double[] reached = new double[STRETCHES];
    private final double[] used = new double[STRETCHES];
    private final double[] worth = new double[STRETCHES];
    private boolean stale = true;

    /** Begins with a guess: the part of those that reach a stretch that are used in it, which counts as so many sights. */
    Returns(double sights, double[] guess) {
        for (int i = 0; i < STRETCHES; i++) {
            reached[i] = sights;
            used[i] = sights * guess[i];
        }
    }

    /** The stretch in which an idle time lies. */
    static int stretch(long nanos) {
        return Math.min(STRETCHES - 1, Long.SIZE - Long.numberOfLeadingZeros(Math.max(0, nanos) / FIRST_NANOS));
    }

    /** One was idle for so long and then used. */
    void used(long idleNanos) {
        int stretch = stretch(idleNanos);
        reach(stretch);
        used[stretch]++;
    }

    /** One was idle for so long and then closed. The stretch in which that happened tells nothing. */
    void closed(long idleNanos) {
        reach(stretch(idleNanos) - 1);
    }

    private void reach(int last) {
        if (reached[0] > FADE_AT) {
            for (int i = 0; i < STRETCHES; i++) {
                reached[i] /= 2;
                used[i] /= 2;
            }
        }
        for (int i = 0; i <= last; i++) {
            reached[i]++;
        }
        stale = true;
    }

    /**
     * Uses a second that keeping one brings which has been idle for so long: the best that can be had by keeping it up to
     * some later time, the chance of a use until then over the time that it takes (Gittins' index). It never rises with
     * the idle time, so that of one kind the oldest goes first.
     */
    double worth(long idleNanos) {
        if (stale) {
            stale = false;
            double least = Double.MAX_VALUE;
            for (int i = 0; i < STRETCHES; i++) {
                least = Math.min(least, index(i));
                worth[i] = least;
            }
        }
        return worth[stretch(idleNanos)];
    }

    private double index(int from) {
        double best = 0;
        double left = 1;
        double chance = 0;
        double time = 0;
        for (int i = from; i < STRETCHES - 1; i++) {
            double part = reached[i] <= 0 ? 0 : Math.min(1, used[i] / reached[i]);
            time += left * (1 - part / 2) * seconds(i);
            chance += left * part;
            left *= 1 - part;
            best = Math.max(best, chance / time);
        }
        return best;
    }

    private static double seconds(int stretch) {
        return FIRST_NANOS / SECOND * (stretch == 0 ? 1 : 1 << stretch - 1);
    }
}
