package slateseam.router.net;

/** One hash for names and keys, the same at every router. */
public final class Hash {
    private static final long OFFSET = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;

    private Hash() {}

    /** FNV-1a with its bits mixed. */
    public static long of(byte[] bytes) {
        long hash = OFFSET;
        for (byte b : bytes) {
            hash = (hash ^ (b & 0xff)) * PRIME;
        }
        hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
        return hash ^ (hash >>> 33);
    }
}
