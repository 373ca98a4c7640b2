package slateseam.tier.members;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Numeric ids of routers, derived from their names, so that all routers compute the same ids. */
final class Ids {
    /** The increment of SplitMix64: the odd number closest to 2^64 divided by the golden ratio. */
    private static final long GOLDEN_GAMMA = 0x9e3779b97f4a7c15L;

    private Ids() {}

    /** Returns the id of a router name or a tier name: the first eight bytes of its SHA-256 hash; never 0. */
    static long of(String name) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(name.getBytes(StandardCharsets.UTF_8));
            long id = ByteBuffer.wrap(hash).getLong();
            return id == 0 ? 1 : id;
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // every Java platform provides SHA-256
        }
    }

    /** Spreads a number's bits with the finalizer of SplitMix64. */
    static long mix(long z) {
        long a = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        long b = (a ^ a >>> 27) * 0x94d049bb133111ebL;
        return b ^ b >>> 31;
    }

    /** Returns the position of a member on a ring; the members have a different order on each ring. */
    static long ringPosition(int ring, long id) {
        return mix(id + GOLDEN_GAMMA * (ring + 1));
    }
}
