package slateseam.tier.members;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Numbers that stand for names, the same at all routers. */
final class Ids {
    private static final long ODD = 0x9e3779b97f4a7c15L;

    private Ids() {}

    /** Of a name; never 0. */
    static long of(String name) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(name.getBytes(StandardCharsets.UTF_8));
            long id = ByteBuffer.wrap(hash).getLong();
            return id == 0 ? 1 : id;
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // each virtual machine has it
        }
    }

    /** Spreads a number's bits (the finalizer of SplitMix64). */
    static long mix(long z) {
        long a = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        long b = (a ^ a >>> 27) * 0x94d049bb133111ebL;
        return b ^ b >>> 31;
    }

    /** Another order of all ids for each ring. */
    static long on(int ring, long id) {
        return mix(id + ODD * (ring + 1));
    }
}
