package slateseam.tier.agreement;

import java.nio.ByteBuffer;

/**
 * An entry of the log.
 *
 * @param term of the leader that wrote it
 */
public record Entry(long term, Kind kind, byte[] body) {
    /** So that one goes into a datagram beside all else. */
    public static final int MOST_BODY = 150;

    static final int HEAD_BYTES = Long.BYTES + 2;

    /** What an entry is for. */
    public enum Kind {
        /** A leader's first, by which it learns what is committed. */
        NOTHING,
        /** Who votes from here on. */
        SEATS,
        /** What the log is for. */
        COMMAND
    }

    /** Checks its size. */
    public Entry {
        if (body.length > MOST_BODY) {
            throw new IllegalArgumentException("an entry of " + body.length + " bytes, over " + MOST_BODY);
        }
    }

    int bytes() {
        return HEAD_BYTES + body.length;
    }

    void put(ByteBuffer out) {
        out.putLong(term).put((byte) kind.ordinal()).put((byte) body.length).put(body);
    }

    static Entry get(ByteBuffer in) {
        long term = in.getLong();
        Kind kind = Kind.values()[in.get()];
        byte[] body = new byte[in.get() & 0xff];
        in.get(body);
        return new Entry(term, kind, body);
    }
}
