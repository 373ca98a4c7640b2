package slateseam.tier.policy;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import java.util.zip.CRC32C;

/**
 * Messages between routers about policy versions, in datagrams of at most 256 bytes.
 *
 * <pre>
 * 0  magic 0xB9      1  version 1      2  kind      3  zero
 * 4  CRC-32C of all that follows byte 8
 * 8  the kind's own fields
 * </pre>
 */
sealed interface PolicyMessage {
    byte MAGIC = (byte) 0xb9;
    int MAX_DATAGRAM_BYTES = 256;
    /** Number of request classes whose shares are reported. */
    int CLASSES = 6;
    /**
     * The kind of a poll that lists the accepting routers as ranges or a window. It differs from the kind of a poll
     * with a plain bitmap, so that earlier builds ignore it instead of misreading it as acceptances.
     */
    int POLL_WITH_RANGES = 5;

    /**
     * Asks another router for its newest state, and reports verdicts and request sums towards the leader.
     *
     * @param memory the identity of the sender's durable state, by which the leader may admit it as a voter
     * @param open the number of the version to be decided on; 0 for none
     * @param accepted the routers that accept the open version, as far as the sender knows and the message can hold;
     *     see {@link AcceptedRouters}
     * @param refuser the router that refuses the open version; -1 for none
     * @param why why that router refuses the version
     * @param asked,served requests of each class in the last second that arrived and that were served, at the sender
     *     and all routers that report to it; if a sum exceeds 32,767, all sums of the message are scaled down by the
     *     same factor, which keeps the shares
     * @param refused requests answered as unavailable in the last second, at the same routers
     */
    record Poll(
            long group,
            int from,
            long memory,
            int sequence,
            long revision,
            int open,
            byte[] accepted,
            int refuser,
            String why,
            int[] asked,
            int[] served,
            int refused)
            implements PolicyMessage {
        /** Returns the largest of the reported sums. */
        int largestSum() {
            int largestOfClasses = IntStream.concat(Arrays.stream(asked), Arrays.stream(served))
                    .max()
                    .orElse(0);
            return Math.max(largestOfClasses, refused);
        }
    }

    /**
     * The reply to a poll.
     *
     * @param sequence the sequence number of the poll
     * @param revision the revision of the newest state known to the sender
     * @param hash the hash of that state, by which it can be fetched
     * @param length the length of that state in bytes
     * @param ageMillis the maximum age of the sender's knowledge; -1 if it knows nothing
     * @param holdsInMillis the time until the newest version takes effect; 0 if it is in effect
     * @param leader the router that leads, as far as the sender knows; -1 for none
     * @param voters the routers that vote
     */
    record PollReply(
            long group,
            int from,
            int sequence,
            long revision,
            byte[] hash,
            int length,
            int ageMillis,
            int holdsInMillis,
            int leader,
            int[] voters)
            implements PolicyMessage {}

    /** Requests parts of a content. */
    record PartsRequest(byte[] hash, int[] parts) implements PolicyMessage {}

    /** Carries one part of a content. */
    record Part(byte[] hash, int index, byte[] bytes) implements PolicyMessage {}

    /** Submits a proposal to the leader, which fetches the document from the sender. */
    record ProposalRequest(int from, Version version) implements PolicyMessage {}

    default byte[] encode() {
        ByteBuffer out = ByteBuffer.allocate(2 * MAX_DATAGRAM_BYTES);
        int kind = this instanceof Poll poll
                ? poll.accepted.length > AcceptedRouters.MAX_BITMAP_BYTES ? POLL_WITH_RANGES : 0
                : this instanceof PollReply ? 1 : this instanceof PartsRequest ? 2 : this instanceof Part ? 3 : 4;
        out.put(MAGIC).put((byte) 1).put((byte) kind).put((byte) 0).putInt(0);
        if (this instanceof Poll t) {
            out.putLong(t.group)
                    .putShort((short) t.from)
                    .putLong(t.memory)
                    .putInt(t.sequence)
                    .putLong(t.revision)
                    .putInt(t.open);
            int largest = t.largestSum();
            for (int i = 0; i < CLASSES; i++) {
                out.putShort(scaled(number(t.asked, i), largest)).putShort(scaled(number(t.served, i), largest));
            }
            out.putShort(scaled(t.refused, largest));
            out.put((byte) t.accepted.length).put(t.accepted).putShort((short) t.refuser);
            Version.put(out, t.why, Math.min(Version.MAX_CAUSE_BYTES, MAX_DATAGRAM_BYTES - out.position() - 1));
        } else if (this instanceof PollReply t) {
            out.putLong(t.group)
                    .putShort((short) t.from)
                    .putInt(t.sequence)
                    .putLong(t.revision)
                    .put(t.hash)
                    .putInt(t.length)
                    .putInt(t.ageMillis)
                    .putInt(t.holdsInMillis)
                    .putShort((short) t.leader)
                    .put((byte) t.voters.length);
            for (int voter : t.voters) {
                out.putShort((short) voter);
            }
        } else if (this instanceof PartsRequest t) {
            out.put(t.hash).put((byte) t.parts.length);
            for (int part : t.parts) {
                out.putShort((short) part);
            }
        } else if (this instanceof Part t) {
            out.put(t.hash).putShort((short) t.index).put((byte) t.bytes.length).put(t.bytes);
        } else if (this instanceof ProposalRequest t) {
            out.putShort((short) t.from);
            t.version.put(out);
        }
        byte[] bytes = Arrays.copyOf(out.array(), out.position());
        return ByteBuffer.wrap(bytes).putInt(4, checksum(bytes)).array();
    }

    private static int number(int[] numbers, int i) {
        return i < numbers.length ? numbers[i] : 0;
    }

    /**
     * Scales a sum to 15 bits: if the largest sum of the message does not fit, all are reduced by the same factor.
     */
    private static short scaled(int sum, int largest) {
        return (short) (largest <= Short.MAX_VALUE ? sum : (long) sum * Short.MAX_VALUE / largest);
    }

    private static int checksum(byte[] bytes) {
        CRC32C sum = new CRC32C();
        sum.update(bytes, 8, bytes.length - 8);
        return (int) sum.getValue();
    }

    /** Decodes a datagram; returns null if it is damaged or not a known message. */
    static PolicyMessage decode(byte[] bytes) {
        if (bytes.length < 8
                || bytes.length > MAX_DATAGRAM_BYTES
                || bytes[0] != MAGIC
                || bytes[1] != 1
                || ByteBuffer.wrap(bytes).getInt(4) != checksum(bytes)) {
            return null;
        }
        try {
            ByteBuffer in = ByteBuffer.wrap(bytes).position(8);
            PolicyMessage message = switch (bytes[2]) {
                case 0 -> poll(in, false);
                case POLL_WITH_RANGES -> poll(in, true);
                case 1 ->
                    new PollReply(
                            in.getLong(),
                            in.getShort(),
                            in.getInt(),
                            in.getLong(),
                            Version.bytes(in, Version.HASH_BYTES),
                            in.getInt(),
                            in.getInt(),
                            in.getInt(),
                            in.getShort(),
                            readNumbers(in));
                case 2 -> new PartsRequest(Version.bytes(in, Version.HASH_BYTES), readNumbers(in));
                case 3 ->
                    new Part(Version.bytes(in, Version.HASH_BYTES), in.getShort(), Version.bytes(in, in.get() & 0xff));
                case 4 -> new ProposalRequest(in.getShort(), Version.get(in));
                default -> null;
            };
            return in.hasRemaining() ? null : message;
        } catch (BufferUnderflowException | IndexOutOfBoundsException | NegativeArraySizeException e) {
            return null;
        }
    }

    private static Poll poll(ByteBuffer in, boolean ranges) {
        long group = in.getLong();
        int from = in.getShort();
        long memory = in.getLong();
        int sequence = in.getInt();
        long revision = in.getLong();
        int open = in.getInt();
        int[] asked = new int[CLASSES];
        int[] served = new int[CLASSES];
        for (int i = 0; i < CLASSES; i++) {
            asked[i] = in.getShort();
            served[i] = in.getShort();
        }
        int refused = in.getShort();
        byte[] accepted = Version.bytes(in, in.get() & 0xff);
        if (ranges != accepted.length > AcceptedRouters.MAX_BITMAP_BYTES) {
            return null;
        }
        return new Poll(
                group,
                from,
                memory,
                sequence,
                revision,
                open,
                accepted,
                in.getShort(),
                Version.text(in),
                asked,
                served,
                refused);
    }

    private static int[] readNumbers(ByteBuffer in) {
        List<Integer> numbers = new ArrayList<>();
        for (int i = in.get(); i > 0; i--) {
            numbers.add((int) in.getShort());
        }
        return numbers.stream().mapToInt(n -> n).toArray();
    }
}
