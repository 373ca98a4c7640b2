package slateseam.tier.agreement;

import java.nio.ByteBuffer;

/**
 * An entry of the replicated log.
 *
 * @param term term of the leader that created the entry
 * @param kind how the body is to be read
 * @param body content, at most {@link #MOST_BODY} bytes
 */
public record Entry(long term, Kind kind, byte[] body) {
    /** Maximum length of a body in bytes, such that an entry fits into one datagram together with all headers. */
    public static final int MOST_BODY = 150;

    /** Encoded length in bytes of the fields before the body. */
    static final int HEADER_BYTES = Long.BYTES + 2;

    /** Purpose of an entry. */
    public enum Kind {
        /** The empty entry that a new leader appends first; committing it tells the leader which entries are committed. */
        NOTHING,
        /** The voters of the group from this entry on. */
        SEATS,
        /** A command to the replicated state machine. */
        COMMAND
    }

    /** Rejects bodies that are too long. */
    public Entry {
        if (body.length > MOST_BODY) {
            throw new IllegalArgumentException(
                    "entry body of " + body.length + " bytes exceeds the limit of " + MOST_BODY);
        }
    }

    int bytes() {
        return HEADER_BYTES + body.length;
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
