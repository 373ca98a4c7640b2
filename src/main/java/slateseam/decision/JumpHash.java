package slateseam.decision;

/** Jump consistent hash (Lamping and Veach), and a mixing function; neither decides anything. */
final class JumpHash {
    private static final long MULTIPLIER = 2862933555777941757L;

    private JumpHash() {}

    /** The bucket of a key among so many. */
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

    /** Spreads the bits of a number over all of it. */
    static long mix(long x) {
        long z = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }

    /** A number in [0, 1) that is the same for the same argument. */
    static double unit(long x) {
        return (mix(x) >>> 11) * 0x1p-53;
    }
}
