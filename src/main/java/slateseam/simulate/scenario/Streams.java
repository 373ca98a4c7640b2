package slateseam.simulate.scenario;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Sources of random numbers, one for each actor. An actor's source follows from the seed and the actor's name alone, so
 * that an actor that is added or left out shifts no other's draws.
 *
 * @param seed the seed of the day, any number
 */
public record Streams(long seed) {
    private static final long STEP = 0x9e3779b97f4a7c15L;

    /** A new source at its beginning; two calls with one name give two sources of the same numbers. */
    public UniformRandomProvider of(String actor) {
        long hash = number(actor);
        return RandomSource.XO_RO_SHI_RO_128_PP.create(new long[] {hash, mix(hash + STEP)});
    }

    /** One number for a name, evenly over all 64 bits. */
    public long number(String name) {
        long hash = mix(seed + STEP);
        for (int i = 0; i < name.length(); i++) {
            hash = mix(hash + STEP + name.charAt(i));
        }
        return hash;
    }

    /** One number for a name, evenly from 0 to below 1. */
    public double share(String name) {
        return (number(name) >>> 11) * 0x1p-53;
    }

    private static long mix(long x) {
        long z = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
