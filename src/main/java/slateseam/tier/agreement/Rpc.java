package slateseam.tier.agreement;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * A message between two voters, or between the leader and a router that is about to become a voter. Each message is sent as one datagram
 * of at most 256 bytes.
 *
 * <pre>
 * 0  magic 0xB8      1  version 1      2  kind      3  zero
 * 4  CRC-32C of all bytes from byte 8 on
 * 8  group          16 from           26 to          36 term
 * 44 fields of the message kind
 * </pre>
 */
public sealed interface Rpc {
    /** First byte of each message, which distinguishes these messages from other datagrams. */
    byte MAGIC = (byte) 0xb8;
    /** Maximum length of a datagram in bytes. */
    int MAX_BYTES = 256;
    /** Length in bytes of the common header before the fields of the message kind. */
    int HEADER_BYTES = 44;
    /** Bytes that the entries of one message may occupy in total. */
    int MAX_ENTRIES_BYTES = MAX_BYTES - HEADER_BYTES - 4 * Long.BYTES - 1;

    /**
     * Header that all messages have in common.
     *
     * @param group identifier of the Raft group
     * @param term current term of the sender; in a pre-vote request or a granted pre-vote, the term of the election that may follow
     */
    record Head(long group, Voter from, Voter to, long term) {}

    /** Returns the common header. */
    Head head();

    /** Asks for a vote or, with {@code pre}, whether the receiver would vote for the sender. */
    record RequestVote(Head head, boolean pre, long lastIndex, long lastTerm) implements Rpc {}

    /** Answers a {@link RequestVote}. */
    record VoteReply(Head head, boolean pre, boolean granted) implements Rpc {}

    /**
     * Replicates the entries that follow a previous entry, which the receiver must already have; without entries it is a heartbeat.
     *
     * @param previousIndex index of the entry before the first one sent
     * @param previousTerm term of that entry
     * @param commit commit index of the leader
     * @param round the leader's heartbeat round, returned in the answer
     */
    record AppendEntries(Head head, long previousIndex, long previousTerm, long commit, long round, List<Entry> entries)
            implements Rpc {}

    /**
     * Answers {@link AppendEntries} and {@link InstallSnapshot}.
     *
     * @param matches whether the receiver's log matched or the snapshot is installed
     * @param match if {@code matches}, the highest index up to which the receiver's log equals the leader's; otherwise the highest index up
     *     to which both may be equal
     * @param round round of the message that is answered
     */
    record AppendReply(Head head, boolean matches, long match, long round) implements Rpc {}

    /**
     * Tells a follower that the entries up to an index have been replaced by a snapshot, which is to be fetched by its hash.
     *
     * @param index index of the last entry that the snapshot covers
     * @param lastTerm term of that entry
     * @param round the leader's heartbeat round, returned in the answer
     * @param length length of the snapshot in bytes
     * @param seats voters of the group as of that entry
     */
    record InstallSnapshot(Head head, long index, long lastTerm, long round, byte[] hash, int length, List<Voter> seats)
            implements Rpc {}

    /**
     * Asks the other voters what the sender has confirmed to them. A voter sends this request after it has read its state from disk, to
     * detect that the disk has lost writes.
     */
    record Recall(Head head) implements Rpc {}

    /**
     * Answers a {@link Recall}.
     *
     * @param heardTerm the latest term of a message from the voter that asks
     * @param match the highest log index that the voter that asks confirmed in that term
     */
    record RecallReply(Head head, long heardTerm, long match) implements Rpc {}

    /** Encodes the message as a datagram. */
    default byte[] encode() {
        ByteBuffer out = ByteBuffer.allocate(MAX_BYTES);
        out.put(MAGIC).put((byte) 1).put((byte) kind()).put((byte) 0).putInt(0).putLong(head().group());
        head().from().put(out);
        head().to().put(out);
        out.putLong(head().term());
        if (this instanceof RequestVote r) {
            out.put((byte) (r.pre ? 1 : 0)).putLong(r.lastIndex).putLong(r.lastTerm);
        } else if (this instanceof VoteReply r) {
            out.put((byte) (r.pre ? 1 : 0)).put((byte) (r.granted ? 1 : 0));
        } else if (this instanceof AppendEntries r) {
            out.putLong(r.previousIndex)
                    .putLong(r.previousTerm)
                    .putLong(r.commit)
                    .putLong(r.round)
                    .put((byte) r.entries.size());
            r.entries.forEach(entry -> entry.put(out));
        } else if (this instanceof AppendReply r) {
            out.put((byte) (r.matches ? 1 : 0)).putLong(r.match).putLong(r.round);
        } else if (this instanceof InstallSnapshot r) {
            out.putLong(r.index)
                    .putLong(r.lastTerm)
                    .putLong(r.round)
                    .put((byte) r.hash.length)
                    .put(r.hash)
                    .putInt(r.length)
                    .put((byte) r.seats.size());
            r.seats.forEach(seat -> seat.put(out));
        } else if (this instanceof RecallReply r) {
            out.putLong(r.heardTerm).putLong(r.match);
        }
        byte[] bytes = java.util.Arrays.copyOf(out.array(), out.position());
        ByteBuffer.wrap(bytes).putInt(4, checksum(bytes));
        return bytes;
    }

    private int kind() {
        return this instanceof RequestVote
                ? 0
                : this instanceof VoteReply
                        ? 1
                        : this instanceof AppendEntries
                                ? 2
                                : this instanceof AppendReply
                                        ? 3
                                        : this instanceof InstallSnapshot ? 4 : this instanceof Recall ? 5 : 6;
    }

    private static int checksum(byte[] bytes) {
        CRC32C sum = new CRC32C();
        sum.update(bytes, 8, bytes.length - 8);
        return (int) sum.getValue();
    }

    /** Decodes a datagram; returns null if the datagram is not such a message or is damaged. */
    static Rpc decode(byte[] bytes) {
        if (bytes.length < HEADER_BYTES
                || bytes.length > MAX_BYTES
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
                case 1 -> new VoteReply(head, in.get() != 0, in.get() != 0);
                case 2 -> {
                    long[] numbers = {in.getLong(), in.getLong(), in.getLong(), in.getLong()};
                    List<Entry> entries = new ArrayList<>();
                    for (int i = in.get(); i > 0; i--) {
                        entries.add(Entry.get(in));
                    }
                    yield new AppendEntries(head, numbers[0], numbers[1], numbers[2], numbers[3], entries);
                }
                case 3 -> new AppendReply(head, in.get() != 0, in.getLong(), in.getLong());
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
                case 6 -> new RecallReply(head, in.getLong(), in.getLong());
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
