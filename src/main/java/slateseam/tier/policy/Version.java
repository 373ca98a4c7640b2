package slateseam.tier.policy;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * A version of the policy, as far as it was decided on.
 *
 * @param number in the order in which versions take hold
 * @param name by which it was proposed
 * @param hash of its document; of no bytes for what each router's own file says
 * @param all whether all that are alive must take it, or those that answer
 * @param stale whether it may be served by one that cannot know whether it is still the newest
 * @param watchSeconds for so long after it holds it is held against what was before
 * @param boundPoints by so many points the served share of a class may fall, or the refused share rise
 * @param proposer the router at which it was proposed
 * @param atMillis when, in Unix milliseconds of the leader
 * @param undoes the version that it takes back; 0 for none
 * @param cause why it is in its state
 * @param before served shares of classes, and the refused share last, when it was committed; in 255ths
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
    /** Of a name, in bytes. */
    public static final int MOST_NAME = 32;
    /** Of a cause, in bytes. */
    static final int MOST_CAUSE = 90;

    static final int HASH_BYTES = 16;

    /** What has become of it. */
    public enum State {
        /** Routers look at it. */
        PROPOSED,
        /** It takes hold, and is watched. */
        COMMITTED,
        /** It holds, and is watched no longer. */
        SETTLED,
        /** It never took hold. */
        ABORTED,
        /** A later one took it back. */
        UNDONE;

        /** Its name for people. */
        public String word() {
            return name().toLowerCase(java.util.Locale.ROOT);
        }
    }

    /** Whether it took hold, or will. */
    public boolean isDecidedFor() {
        return state == State.COMMITTED || state == State.SETTLED || state == State.UNDONE;
    }

    Version as(State later, String why) {
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

    Version numbered(int next) {
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
        put(out, cause, MOST_CAUSE);
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

    static void put(ByteBuffer out, String text, int most) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(most, bytes.length);
        while (length > 0 && length < bytes.length && (bytes[length] & 0xc0) == 0x80) {
            length--; // not within a character
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

    /** Whether it was proposed with the same content. */
    boolean isLike(String aName, byte[] aHash) {
        return name.equals(aName) && Arrays.equals(hash, aHash);
    }
}
