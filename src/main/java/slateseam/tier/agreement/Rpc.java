package slateseam.tier.agreement;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * A message between two who vote, or are to; a datagram of at most 256 bytes.
 *
 * <pre>
 * 0  magic 0xB8      1  version 1      2  kind      3  zero
 * 4  CRC-32C of all that follows byte 8
 * 8  group          16 from           26 to          36 term
 * 44 the kind's own fields
 * </pre>
 */
public sealed interface Rpc {
    /** The first byte of all, by which they are told from other datagrams. */
    byte MAGIC = (byte) 0xb8;
    /** Of a datagram. */
    int MOST_BYTES = 256;
    /** Before the kind's own fields. */
    int HEAD_BYTES = 44;
    /** Room for entries in one message. */
    int ENTRY_ROOM = MOST_BYTES - HEAD_BYTES - 4 * Long.BYTES - 1;

    /** Which group of voters it is of, who sent it, to whom, and in which term. */
    record Head(long group, Voter from, Voter to, long term) {}

    /** What all have. */
    Head head();

    /** Asks for a vote, or whether one would be given. */
    record RequestVote(Head head, boolean pre, long lastIndex, long lastTerm) implements Rpc {}

    /** Gives it or not. */
    record Vote(Head head, boolean pre, boolean granted) implements Rpc {}

    /** Entries behind one that the receiver must have; none for a heartbeat. */
    record AppendEntries(Head head, long previousIndex, long previousTerm, long commit, long round, List<Entry> entries)
            implements Rpc {}

    /** Whether that fitted, and up to where the receiver has what the leader has, or may have. */
    record Appended(Head head, boolean fitted, long match, long round) implements Rpc {}

    /** Entries up to this one are no longer there: what they came to is, by its hash. */
    record InstallSnapshot(Head head, long index, long lastTerm, long round, byte[] hash, int length, List<Voter> seats)
            implements Rpc {}

    /** One who read its memory from a disk asks what was had from it last. */
    record Recall(Head head) implements Rpc {}

    /** That: the latest term in which it said anything, and up to where it said that it had the log. */
    record Recalled(Head head, long heardTerm, long match) implements Rpc {}

    /** As a datagram. */
    default byte[] encode() {
        ByteBuffer out = ByteBuffer.allocate(MOST_BYTES);
        out.put(MAGIC).put((byte) 1).put((byte) kind()).put((byte) 0).putInt(0).putLong(head().group());
        head().from().put(out);
        head().to().put(out);
        out.putLong(head().term());
        if (this instanceof RequestVote r) {
            out.put((byte) (r.pre ? 1 : 0)).putLong(r.lastIndex).putLong(r.lastTerm);
        } else if (this instanceof Vote r) {
            out.put((byte) (r.pre ? 1 : 0)).put((byte) (r.granted ? 1 : 0));
        } else if (this instanceof AppendEntries r) {
            out.putLong(r.previousIndex)
                    .putLong(r.previousTerm)
                    .putLong(r.commit)
                    .putLong(r.round)
                    .put((byte) r.entries.size());
            r.entries.forEach(entry -> entry.put(out));
        } else if (this instanceof Appended r) {
            out.put((byte) (r.fitted ? 1 : 0)).putLong(r.match).putLong(r.round);
        } else if (this instanceof InstallSnapshot r) {
            out.putLong(r.index)
                    .putLong(r.lastTerm)
                    .putLong(r.round)
                    .put((byte) r.hash.length)
                    .put(r.hash)
                    .putInt(r.length)
                    .put((byte) r.seats.size());
            r.seats.forEach(seat -> seat.put(out));
        } else if (this instanceof Recalled r) {
            out.putLong(r.heardTerm).putLong(r.match);
        }
        byte[] bytes = java.util.Arrays.copyOf(out.array(), out.position());
        ByteBuffer.wrap(bytes).putInt(4, checksum(bytes));
        return bytes;
    }

    private int kind() {
        return this instanceof RequestVote
                ? 0
                : this instanceof Vote
                        ? 1
                        : this instanceof AppendEntries
                                ? 2
                                : this instanceof Appended
                                        ? 3
                                        : this instanceof InstallSnapshot ? 4 : this instanceof Recall ? 5 : 6;
    }

    private static int checksum(byte[] bytes) {
        CRC32C sum = new CRC32C();
        sum.update(bytes, 8, bytes.length - 8);
        return (int) sum.getValue();
    }

    /** Reads a datagram; null for what is none of these, or is damaged. */
    static Rpc decode(byte[] bytes) {
        if (bytes.length < HEAD_BYTES
                || bytes.length > MOST_BYTES
                || bytes[0] != MAGIC
                || bytes[1] != 1
                || ByteBuffer.wrap(bytes).getInt(4) != checksum(bytes)) {
            return null;
        }
        try {
            ByteBuffer in = ByteBuffer.wrap(bytes).position(8);
            Head head = new Head(in.getLong(), Voter.get(in), Voter.get(in), in.getLong());
            Rpc rpc = switch (bytes[2]) {
                case 0 -> new RequestVote(head, in.get() != 0, in.getLong(), in.getLong());
                case 1 -> new Vote(head, in.get() != 0, in.get() != 0);
                case 2 -> {
                    long[] numbers = {in.getLong(), in.getLong(), in.getLong(), in.getLong()};
                    List<Entry> entries = new ArrayList<>();
                    for (int i = in.get(); i > 0; i--) {
                        entries.add(Entry.get(in));
                    }
                    yield new AppendEntries(head, numbers[0], numbers[1], numbers[2], numbers[3], entries);
                }
                case 3 -> new Appended(head, in.get() != 0, in.getLong(), in.getLong());
                case 4 -> {
                    long[] numbers = {in.getLong(), in.getLong(), in.getLong()};
                    byte[] hash = new byte[in.get()];
                    in.get(hash);
                    int length = in.getInt();
                    List<Voter> seats = new ArrayList<>();
                    for (int i = in.get(); i > 0; i--) {
                        seats.add(Voter.get(in));
                    }
                    yield new InstallSnapshot(head, numbers[0], numbers[1], numbers[2], hash, length, seats);
                }
                case 5 -> new Recall(head);
                case 6 -> new Recalled(head, in.getLong(), in.getLong());
                default -> null;
            };
            return in.hasRemaining() ? null : rpc;
        } catch (BufferUnderflowException
                | IndexOutOfBoundsException
                | NegativeArraySizeException
                | IllegalArgumentException e) {
            return null;
        }
    }
}
