package slateseam.decision;

/** Jump consistent hashing (Lamping and Veach, 2014) and a 64-bit mixing function (the finalizer of SplitMix64). */
final class JumpHash {
    /** The multiplier of the linear congruential generator in the published algorithm. */
    private static final long MULTIPLIER = 2862933555777941757L;

    private JumpHash() {}

    /**
     * Returns the bucket of a key. If the number of buckets grows from n to n + 1, a key stays in its bucket or moves
     * to the new one.
     *
     * @param buckets the number of buckets, at least 1
     * @return the bucket, from 0 to {@code buckets - 1}
     */
    static int bucket(long key, int buckets) {
        long state = key;
        int bucket = -1;
        for (long next = 0; next < buckets; ) {
            bucket = (int) next;
            state = state * MULTIPLIER + 1;
            next = (long) ((bucket + 1) * (0x1p31 / ((state >>> 33) + 1)));
        }
        return bucket;
    }

    /** Returns a hash of a number: each bit of the argument affects all bits of the result. */
    static long mix(long x) {
        long z = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }

    /** Returns a pseudo-random number in [0, 1) that is determined by the argument. */
    static double unit(long x) {
        return (mix(x) >>> 11) * 0x1p-53;
    }
}
