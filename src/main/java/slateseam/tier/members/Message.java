package slateseam.tier.members;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * A membership datagram between routers of the tier, of at most 256 bytes. Its first byte distinguishes it from the
 * datagrams of the ring.
 *
 * <pre>
 * 0  magic 0xB7      1  version 1      2  kind      3  flags
 * 4  CRC-32C of bytes 0 to 3 and of all bytes from 8 on
 * 8  tier, 4 bytes of a hash of its name
 * 12 sender, 8 bytes of a hash of its name
 * 20 life of the sender, Unix milliseconds       28 incarnation of the sender      32 sequence
 * 36 digest of the present members in the view of the sender
 * 40 silent fraction of the tier as observed by the sender and its peers, 0 to 255
 * 41 records: kind, then its fields
 * </pre>
 *
 * @param kind the purpose of the message
 * @param doubts whether the sender distrusts its own view
 * @param requestsDigests whether the sender requests digests in return
 * @param tier the hash of the tier's name
 * @param sender the id of the sender
 * @param life the start time of the sender's process in Unix milliseconds
 * @param incarnation the incarnation of the sender
 * @param sequence the number of the message in the life of the sender
 * @param digest the digest of the present members in the view of the sender
 * @param silentFraction the fraction of the tier that is silent for the sender, in units of 1/255
 * @param records the payload
 */
record Message(
        Kind kind,
        boolean doubts,
        boolean requestsDigests,
        int tier,
        long sender,
        long life,
        int incarnation,
        int sequence,
        int digest,
        int silentFraction,
        List<Record> records) {
    static final int MAX_BYTES = 256;
    static final byte MAGIC = (byte) 0xb7;
    private static final byte VERSION = 1;
    static final int HEADER_BYTES = 41;
    /** The offset after the checksum; the bytes from here to the end are part of the checksum. */
    private static final int CHECKSUM_END = 8;
    /** The bit of the flags for {@link #doubts}. */
    private static final int FLAG_DOUBTS = 1;
    /** The bit of the flags for {@link #requestsDigests}. */
    private static final int FLAG_REQUESTS_DIGESTS = 2;

    /** The purpose of a message; the ordinal is written to the wire. */
    enum Kind {
        /** The sender is alive. */
        HEARTBEAT,
        /** Anti-entropy: the records are digests of the parts of the sender's view. */
        COMPARE,
        /** The sender received a message of an unknown router and requests its introduction. */
        WHO,
        /** The sender is shutting down. */
        LEAVE
    }

    /** An element of the payload of a message. */
    sealed interface Record {
        /** Returns the encoded length in bytes. */
        int bytes();

        /** Appends the encoded record to a buffer. */
        void put(ByteBuffer out);
    }

    /**
     * A claim that a member is in a state at an incarnation of a life.
     *
     * @param by the id of the router that made the claim
     */
    record Claim(long id, long life, int incarnation, State state, long by) implements Record {
        static final int BYTES = 1 + 8 + 8 + 4 + 1 + 8;

        @Override
        public int bytes() {
            return BYTES;
        }

        @Override
        public void put(ByteBuffer out) {
            out.put((byte) 1)
                    .putLong(id)
                    .putLong(life)
                    .putInt(incarnation)
                    .put((byte) state.ordinal())
                    .putLong(by);
        }
    }

    /**
     * The name and address of a member, which claims that the member is alive.
     *
     * @param number the number in the list of peers; -1 if it is not known
     * @param address the address of the member; null in an introduction of the sender, whose address is the datagram's
     */
    record Introduction(long id, long life, int incarnation, int number, InetSocketAddress address, String name)
            implements Record {
        private static final int FIXED = 1 + 8 + 8 + 4 + 2 + 1 + 2 + 1;

        @Override
        public int bytes() {
            return FIXED
                    + (address == null ? 0 : address.getAddress().getAddress().length)
                    + name.getBytes(StandardCharsets.UTF_8).length;
        }

        @Override
        public void put(ByteBuffer out) {
            byte[] ip = address == null ? new byte[0] : address.getAddress().getAddress();
            byte[] text = name.getBytes(StandardCharsets.UTF_8);
            out.put((byte) 2)
                    .putLong(id)
                    .putLong(life)
                    .putInt(incarnation)
                    .putShort((short) number)
                    .put((byte) ip.length)
                    .put(ip)
                    .putShort((short) (address == null ? 0 : address.getPort()))
                    .put((byte) text.length)
                    .put(text);
        }
    }

    /** The verdict of the sender on a member that it monitors: whether the sender hears the member. */
    record Verdict(long id, long life, int incarnation, Ear ear) implements Record {
        static final int BYTES = 1 + 8 + 8 + 4 + 1;

        @Override
        public int bytes() {
            return BYTES;
        }

        @Override
        public void put(ByteBuffer out) {
            out.put((byte) 3).putLong(id).putLong(life).putInt(incarnation).put((byte) ear.ordinal());
        }
    }

    /** The digest of one part of the sender's view. */
    record PartDigest(int part, int digest) implements Record {
        static final int BYTES = 1 + 1 + 4;

        @Override
        public int bytes() {
            return BYTES;
        }

        @Override
        public void put(ByteBuffer out) {
            out.put((byte) 4).put((byte) part).putInt(digest);
        }
    }

    /** The answer of a router to whether it hears a member; the ordinal is written to the wire. */
    enum Ear {
        /** The router receives messages of the member. */
        HEARS,
        /** The router receives nothing from the member. */
        SILENT,
        /** The router receives nothing from the member, but distrusts its own view. */
        UNSURE
    }

    /**
     * Reports that a datagram is malformed; the message names the field that is wrong. No stack trace is recorded.
     */
    static final class BadMessageException extends Exception {
        private static final long serialVersionUID = 1;

        BadMessageException(String why) {
            super(why, null, false, false);
        }
    }

    Message {
        records = List.copyOf(records);
    }

    /** Returns whether a datagram is a membership message, judged by its first byte. */
    static boolean isMembershipMessage(byte[] datagram) {
        return datagram.length > 0 && datagram[0] == MAGIC;
    }

    byte[] encode() {
        int length = HEADER_BYTES + records.stream().mapToInt(Record::bytes).sum();
        ByteBuffer out = ByteBuffer.allocate(length)
                .put(MAGIC)
                .put(VERSION)
                .put((byte) kind.ordinal())
                .put((byte) ((doubts ? FLAG_DOUBTS : 0) | (requestsDigests ? FLAG_REQUESTS_DIGESTS : 0)))
                .putInt(0)
                .putInt(tier)
                .putLong(sender)
                .putLong(life)
                .putInt(incarnation)
                .putInt(sequence)
                .putInt(digest)
                .put((byte) silentFraction);
        records.forEach(record -> record.put(out));
        return out.putInt(4, checksum(out.array())).array();
    }

    /** Computes the checksum of all bytes except the checksum itself. */
    private static int checksum(byte[] bytes) {
        CRC32C sum = new CRC32C();
        sum.update(bytes, 0, 4);
        sum.update(bytes, CHECKSUM_END, bytes.length - CHECKSUM_END);
        return (int) sum.getValue();
    }

    static Message decode(byte[] bytes) throws BadMessageException {
        if (bytes.length < HEADER_BYTES || bytes.length > MAX_BYTES || !isMembershipMessage(bytes)) {
            throw new BadMessageException("length");
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        if (bytes[1] != VERSION) {
            throw new BadMessageException("version");
        }
        if (in.getInt(4) != checksum(bytes)) {
            throw new BadMessageException("checksum");
        }
        try {
            int kind = in.get(2);
            if (kind < 0 || kind >= Kind.values().length) {
                throw new BadMessageException("kind");
            }
            int flags = in.get(3);
            in.position(CHECKSUM_END);
            int tier = in.getInt();
            long sender = in.getLong();
            long life = in.getLong();
            int incarnation = in.getInt();
            int sequence = in.getInt();
            int digest = in.getInt();
            int silentFraction = in.get() & 0xff;
            List<Record> records = new ArrayList<>();
            while (in.hasRemaining()) {
                records.add(read(in));
            }
            return new Message(
                    Kind.values()[kind],
                    (flags & FLAG_DOUBTS) != 0,
                    (flags & FLAG_REQUESTS_DIGESTS) != 0,
                    tier,
                    sender,
                    life,
                    incarnation,
                    sequence,
                    digest,
                    silentFraction,
                    records);
        } catch (BufferUnderflowException | UnknownHostException | CharacterCodingException e) {
            throw new BadMessageException("records");
        }
    }

    private static Record read(ByteBuffer in)
            throws BadMessageException, UnknownHostException, CharacterCodingException {
        byte kind = in.get();
        switch (kind) {
            case 1 -> {
                return new Claim(
                        in.getLong(), in.getLong(), in.getInt(), byOrdinal(State.values(), in.get()), in.getLong());
            }
            case 2 -> {
                long id = in.getLong();
                long life = in.getLong();
                int incarnation = in.getInt();
                int number = in.getShort();
                byte[] ip = bytes(in, in.get());
                int port = in.getShort() & 0xffff;
                byte[] name = bytes(in, in.get());
                if (name.length == 0
                        || name.length > MembersSettings.LONGEST_NAME
                        || ip.length != 0 && ip.length != 4 && ip.length != 16) {
                    throw new BadMessageException("introduction");
                }
                String text = StandardCharsets.UTF_8
                        .newDecoder()
                        .decode(ByteBuffer.wrap(name))
                        .toString();
                return new Introduction(
                        id,
                        life,
                        incarnation,
                        number,
                        ip.length == 0 ? null : new InetSocketAddress(InetAddress.getByAddress(ip), port),
                        text);
            }
            case 3 -> {
                return new Verdict(in.getLong(), in.getLong(), in.getInt(), byOrdinal(Ear.values(), in.get()));
            }
            case 4 -> {
                return new PartDigest(in.get() & 0xff, in.getInt());
            }
            default -> throw new BadMessageException("record");
        }
    }

    private static byte[] bytes(ByteBuffer in, int length) throws BadMessageException {
        if (length < 0 || length > in.remaining()) {
            throw new BadMessageException("records");
        }
        byte[] bytes = new byte[length];
        in.get(bytes);
        return bytes;
    }

    private static <T> T byOrdinal(T[] all, int ordinal) throws BadMessageException {
        if (ordinal < 0 || ordinal >= all.length) {
            throw new BadMessageException("value");
        }
        return all[ordinal];
    }
}
