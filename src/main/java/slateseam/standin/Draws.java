package slateseam.standin;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Numbers drawn from a source or from a name. {@link StrictMath} guards against results that differ between interpreted
 * and compiled code, which would make two runs of one seed differ.
 */
final class Draws {
    private static final double UNIT = 0x1.0p-53;

    private Draws() {}

    /** Whether something of this chance happens; draws nothing for what cannot happen. */
    static boolean chance(UniformRandomProvider random, double chance) {
        return chance > 0 && random.nextDouble() < chance;
    }

    /** The same for one of the draws that belong to a number. */
    static boolean chance(long draws, String what, double chance) {
        return chance > 0 && unit(hash(draws, what)) < chance;
    }

    /** A normal deviate that belongs to a hash. */
    static double normal(long hash) {
        return normal(unit(hash), unit(mix(hash + 1)));
    }

    private static double normal(double a, double b) {
        return StrictMath.sqrt(-2 * StrictMath.log(1 - a)) * StrictMath.cos(2 * StrictMath.PI * b);
    }

    /** The log-normal factor of mean 1 and this standard deviation that belongs to a normal deviate. */
    static double factor(double deviation, double normal) {
        double variance = StrictMath.log1p(deviation * deviation);
        return StrictMath.exp(StrictMath.sqrt(variance) * normal - variance / 2);
    }

    /** A number from 0 to under 1 that belongs to a hash. */
    static double unit(long hash) {
        return (hash >>> 11) * UNIT;
    }

    /** A hash of a text; another for each salt. */
    static long hash(long salt, String text) {
        long hash = salt ^ 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        return mix(hash);
    }

    private static long mix(long hash) {
        long mixed = (hash ^ hash >>> 30) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
        return mixed ^ mixed >>> 31;
    }
}
