package slateseam.tier.policy;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * A version of the policy, with its state by the replicated log.
 *
 * @param number the number of the version; versions take effect in ascending order
 * @param name the name by which the version was proposed
 * @param hash the hash of its document; that of no bytes for each router's own settings file
 * @param length the length of its document in bytes
 * @param all whether all routers that are alive must accept the version, not just the routers that answer
 * @param stale whether a router may go on serving by the version while it cannot prove that it is still the newest
 * @param watchSeconds for how long after it takes effect the served shares are compared with the shares before
 * @param boundPoints by how many percentage points the served share of a class may fall, or the refused share rise
 * @param proposer the router at which the version was proposed
 * @param atMillis when the version was proposed, in Unix milliseconds of the proposer
 * @param undoes the number of the version that this version undoes; 0 for none
 * @param state the state of the version
 * @param cause why the version is in its state
 * @param before the served shares of all classes and, last, the refused share at the commit, in 255ths
 */
public record Version(
        int number,
        String name,
        byte[] hash,
        int length,
        boolean all,
        boolean stale,
        int watchSeconds,
        int boundPoints,
        int proposer,
        long atMillis,
        int undoes,
        State state,
        String cause,
        byte[] before) {
    /** Maximum length of a name in bytes. */
    public static final int MOST_NAME = 32;
    /** Maximum length of a cause in bytes; longer causes are cut off. */
    static final int MAX_CAUSE_BYTES = 90;

    /** Length of a hash: the leading bytes of a SHA-256 digest. */
    static final int HASH_BYTES = 16;

    /** The states of a version. */
    public enum State {
        /** The routers check the version. */
        PROPOSED,
        /** The version takes effect, and is watched for a fall of the served share. */
        COMMITTED,
        /** The version was in effect for the whole watch time, and is watched no longer. */
        SETTLED,
        /** The version was not accepted and never took effect. */
        ABORTED,
        /** A later version undid this version. */
        UNDONE;

        /** Returns the name of the state in lower case, for display. */
        public String word() {
            return name().toLowerCase(java.util.Locale.ROOT);
        }
    }

    /** Returns whether the version was committed, even if it was undone later. */
    public boolean wasCommitted() {
        return state == State.COMMITTED || state == State.SETTLED || state == State.UNDONE;
    }

    Version withState(State later, String why) {
        return new Version(
                number,
                name,
                hash,
                length,
                all,
                stale,
                watchSeconds,
                boundPoints,
                proposer,
                atMillis,
                undoes,
                later,
                why,
                before);
    }

    Version committed(byte[] shares) {
        return new Version(
                number,
                name,
                hash,
                length,
                all,
                stale,
                watchSeconds,
                boundPoints,
                proposer,
                atMillis,
                undoes,
                State.COMMITTED,
                cause,
                shares);
    }

    Version withNumber(int next) {
        return new Version(
                next,
                name,
                hash,
                length,
                all,
                stale,
                watchSeconds,
                boundPoints,
                proposer,
                atMillis,
                undoes,
                state,
                cause,
                before);
    }

    void put(ByteBuffer out) {
        out.putInt(number);
        put(out, name, MOST_NAME);
        out.put(hash)
                .putInt(length)
                .put((byte) ((all ? 1 : 0) | (stale ? 2 : 0)))
                .putShort((short) watchSeconds)
                .putShort((short) boundPoints)
                .putShort((short) proposer)
                .putLong(atMillis)
                .putInt(undoes)
                .put((byte) state.ordinal());
        put(out, cause, MAX_CAUSE_BYTES);
        out.put((byte) before.length).put(before);
    }

    static Version get(ByteBuffer in) {
        int number = in.getInt();
        String name = text(in);
        byte[] hash = bytes(in, HASH_BYTES);
        int length = in.getInt();
        int flags = in.get();
        return new Version(
                number,
                name,
                hash,
                length,
                (flags & 1) != 0,
                (flags & 2) != 0,
                in.getShort(),
                in.getShort(),
                in.getShort(),
                in.getLong(),
                in.getInt(),
                State.values()[in.get()],
                text(in),
                bytes(in, in.get()));
    }

    static void put(ByteBuffer out, String text, int maxBytes) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(maxBytes, bytes.length);
        while (length > 0 && length < bytes.length && (bytes[length] & 0xc0) == 0x80) {
            length--; // does not cut within a UTF-8 character
        }
        out.put((byte) length).put(bytes, 0, length);
    }

    static String text(ByteBuffer in) {
        return new String(bytes(in, in.get()), StandardCharsets.UTF_8);
    }

    static byte[] bytes(ByteBuffer in, int length) {
        byte[] bytes = new byte[length];
        in.get(bytes);
        return bytes;
    }

    /** Returns whether the version has the given name and the given document hash. */
    boolean matches(String aName, byte[] aHash) {
        return name.equals(aName) && Arrays.equals(hash, aHash);
    }
}
