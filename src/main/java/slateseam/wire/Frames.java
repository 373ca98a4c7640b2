package slateseam.wire;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import slateseam.decision.Api.Action;
import slateseam.decision.Api.AttemptEnded;
import slateseam.decision.Api.Cancel;
import slateseam.decision.Api.ClientGone;
import slateseam.decision.Api.CloseIdle;
import slateseam.decision.Api.Event;
import slateseam.decision.Api.Fail;
import slateseam.decision.Api.ListKind;
import slateseam.decision.Api.Log;
import slateseam.decision.Api.Member;
import slateseam.decision.Api.MemberState;
import slateseam.decision.Api.MembersChanged;
import slateseam.decision.Api.Outcome;
import slateseam.decision.Api.PeerMessage;
import slateseam.decision.Api.Probe;
import slateseam.decision.Api.ProbeEnded;
import slateseam.decision.Api.Refuse;
import slateseam.decision.Api.RequestArrived;
import slateseam.decision.Api.Send;
import slateseam.decision.Api.SetTimer;
import slateseam.decision.Api.StreamEstablished;
import slateseam.decision.Api.Subscribe;
import slateseam.decision.Api.TellPeer;
import slateseam.decision.Api.TimerFired;

/** The frame codec: batches of events in, replies of actions out, both little-endian. */
public final class Frames {
    /** The input is not a well-formed batch; the message names record and offset. */
    public static final class MalformedFrameException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedFrameException(String message) {
            super(message);
        }
    }

    /** What a reader does with the records of a batch, in their order. */
    interface BatchHandler {
        void launch(int instance, long seed, String settings);

        void retire(int instance);

        boolean isLaunched(int instance);

        void event(int instance, Event event);
    }

    private static final int ABOUT = 27;
    private static final int SNAPSHOT = 26;
    private static final int LAUNCH = 16;
    private static final int MEMBERS = 17;
    private static final int REQUEST = 18;
    private static final int ESTABLISHED = 19;
    private static final int ATTEMPT_END = 20;
    private static final int GONE = 21;
    private static final int REMINDER = 22;
    private static final int PONG = 23;
    private static final int NOTE = 24;
    private static final int RETIRE = 25;

    private static final int HEADER_BYTES = 16;
    private static final int ENTRY_BYTES = 23;
    private static final int TABLES = 16;
    private static final int READ_CHUNK = 1 << 20;
    private static final int WRITE_BIT = 4;
    private static final int REPEAT_BIT = 2;
    private static final int HINT_BIT = 1;
    private static final int TEXT_LIMIT = 1000;

    private Frames() {}

    /** Reads whole frames from a stream. */
    static final class Reader {
        private final InputStream in;
        private final List<List<Member>> tables = new ArrayList<>();
        private long clock;
        private ByteBuffer body;
        private int record;
        private int recordStart;

        Reader(InputStream in) {
            this.in = in;
            for (int i = 0; i < TABLES; i++) {
                tables.add(null);
            }
        }

        long clock() {
            return clock;
        }

        /**
         * Reads the next batch's bytes.
         *
         * @return false at the end of input on a frame boundary
         */
        boolean next() throws IOException, MalformedFrameException {
            byte[] header = in.readNBytes(HEADER_BYTES);
            if (header.length == 0) {
                return false;
            }
            record = -1;
            if (header.length < HEADER_BYTES) {
                throw new MalformedFrameException("truncated header at offset " + header.length);
            }
            ByteBuffer head = ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN);
            long length = Integer.toUnsignedLong(head.getInt());
            clock = head.getLong();
            record = head.getInt();
            body = ByteBuffer.wrap(readBody(length)).order(ByteOrder.LITTLE_ENDIAN);
            return true;
        }

        /** Grows with what really arrives, so that an absurd length costs no memory. */
        private byte[] readBody(long length) throws IOException, MalformedFrameException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream((int) Math.min(length, READ_CHUNK));
            long left = length;
            while (left > 0) {
                byte[] chunk = in.readNBytes((int) Math.min(left, READ_CHUNK));
                if (chunk.length == 0) {
                    throw new MalformedFrameException(
                            "truncated frame at offset " + (HEADER_BYTES + length - left) + ", length says " + length);
                }
                bytes.write(chunk);
                left -= chunk.length;
            }
            return bytes.toByteArray();
        }

        /** Decodes the batch read last and hands its records over. */
        void decode(BatchHandler handler) throws MalformedFrameException {
            long records = Integer.toUnsignedLong(record);
            int instance = -1;
            for (record = 0; record < records; record++) {
                recordStart = body.position();
                int code = u8();
                switch (code) {
                    case ABOUT -> instance = u16();
                    case SNAPSHOT -> readTable();
                    case LAUNCH -> {
                        long seed = u64();
                        String settings = new String(bytes(u32()), StandardCharsets.UTF_8);
                        handler.launch(named(instance), seed, settings);
                    }
                    case RETIRE -> handler.retire(launched(handler, instance));
                    default -> handler.event(launched(handler, instance), event(code));
                }
            }
            if (body.hasRemaining()) {
                recordStart = body.position();
                throw malformed("left-over bytes");
            }
        }

        private int named(int instance) throws MalformedFrameException {
            if (instance < 0) {
                throw malformed("no instance named");
            }
            return instance;
        }

        private int launched(BatchHandler handler, int instance) throws MalformedFrameException {
            if (!handler.isLaunched(named(instance))) {
                throw malformed("instance " + instance + " never launched");
            }
            return instance;
        }

        private Event event(int code) throws MalformedFrameException {
            return switch (code) {
                case MEMBERS -> members();
                case REQUEST -> request();
                case ESTABLISHED -> {
                    long request = u64();
                    long member = u32();
                    u64();
                    yield new StreamEstablished(request, member, u8());
                }
                case ATTEMPT_END -> attemptEnd();
                case GONE -> new ClientGone(u64());
                case REMINDER -> new TimerFired((int) u32());
                case PONG -> {
                    long member = u32();
                    long duration = u64();
                    Outcome outcome = outcome(u16());
                    skipFloats(u8());
                    yield new ProbeEnded(member, outcome, duration);
                }
                case NOTE -> {
                    long from = u32();
                    byte[] payload = bytes(u16());
                    yield new PeerMessage((int) from, payload);
                }
                default -> throw malformed("unknown code " + code);
            };
        }

        private Event members() throws MalformedFrameException {
            int kind = u8();
            int table = u8();
            u64();
            if (kind >= ListKind.values().length) {
                throw malformed("unknown list kind " + kind);
            }
            ListKind listKind = ListKind.values()[kind];
            if (listKind == ListKind.FAILED) {
                return new MembersChanged(listKind, List.of());
            }
            if (table >= TABLES || tables.get(table) == null) {
                throw malformed("unknown list number " + table);
            }
            return new MembersChanged(listKind, tables.get(table));
        }

        private Event request() throws MalformedFrameException {
            long request = u64();
            long key = u64();
            int tenant = u16();
            long hint = u64();
            int requestClass = u16();
            int marks = u16();
            long ttl = u64();
            need(Float.BYTES);
            body.getFloat();
            return new RequestArrived(
                    request,
                    key,
                    tenant,
                    requestClass,
                    (marks & WRITE_BIT) != 0,
                    (marks & REPEAT_BIT) != 0,
                    (marks & HINT_BIT) != 0 ? hint : 0,
                    ttl);
        }

        private Event attemptEnd() throws MalformedFrameException {
            long request = u64();
            Outcome outcome = outcome(u16());
            long duration = u64();
            boolean fetching = u8() == 3;
            long member = u32();
            int attempt = u8();
            boolean concluded = u8() != 0;
            skipFloats(u8());
            return new AttemptEnded(request, member, attempt, outcome, fetching, concluded, duration);
        }

        private Outcome outcome(int code) throws MalformedFrameException {
            return switch (code) {
                case 0 -> Outcome.OK;
                case 13 -> Outcome.ERROR;
                case 8 -> Outcome.FULL;
                case 4 -> Outcome.TIMEOUT;
                case 14 -> Outcome.CONNECT_FAILED;
                case 10 -> Outcome.RESET;
                case 1 -> Outcome.CANCELLED;
                case 9 -> Outcome.MOOT;
                case 5 -> Outcome.MISS;
                default -> throw malformed("unknown outcome " + code);
            };
        }

        private void readTable() throws MalformedFrameException {
            int table = u8();
            long lines = u32();
            if (table >= TABLES) {
                throw malformed("unknown list number " + table);
            }
            if (lines * ENTRY_BYTES > body.remaining()) {
                throw malformed("truncated list");
            }
            List<Member> members = new ArrayList<>((int) lines);
            for (long i = 0; i < lines; i++) {
                members.add(member());
            }
            tables.set(table, List.copyOf(members));
        }

        private Member member() throws MalformedFrameException {
            long id = u32();
            int zone = u16();
            int kind = u16();
            int cell = u16();
            int state = u8();
            need(Float.BYTES);
            float rating = body.getFloat();
            long upSince = u64();
            if (state >= MemberState.values().length) {
                throw malformed("unknown lifecycle " + state);
            }
            return new Member(id, zone, kind, cell, MemberState.values()[state], rating, upSince);
        }

        private void need(long count) throws MalformedFrameException {
            if (count > body.remaining()) {
                throw malformed("truncated record");
            }
        }

        private int u8() throws MalformedFrameException {
            need(1);
            return Byte.toUnsignedInt(body.get());
        }

        private int u16() throws MalformedFrameException {
            need(Short.BYTES);
            return Short.toUnsignedInt(body.getShort());
        }

        private long u32() throws MalformedFrameException {
            need(Integer.BYTES);
            return Integer.toUnsignedLong(body.getInt());
        }

        private long u64() throws MalformedFrameException {
            need(Long.BYTES);
            return body.getLong();
        }

        private byte[] bytes(long count) throws MalformedFrameException {
            need(count);
            byte[] bytes = new byte[(int) count];
            body.get(bytes);
            return bytes;
        }

        private void skipFloats(int count) throws MalformedFrameException {
            need((long) count * Float.BYTES);
            body.position(body.position() + count * Float.BYTES);
        }

        private MalformedFrameException malformed(String what) {
            return new MalformedFrameException(
                    what + " in record " + record + " at offset " + (HEADER_BYTES + recordStart));
        }
    }

    /** Collects the actions of one reply. */
    static final class Writer {
        private ByteBuffer out = ByteBuffer.allocate(1 << 16).order(ByteOrder.LITTLE_ENDIAN);
        private int records;
        private int current = -1;

        Writer() {
            clear();
        }

        private void clear() {
            out.clear().position(Long.BYTES);
            records = 0;
            current = -1;
        }

        /** Appends an action of an instance. */
        void action(int instance, Action action) {
            address(instance);
            if (action instanceof Send a) {
                begin(28, 20).putLong(a.request()).putInt((int) a.member()).putLong(a.timeoutNanos());
            } else if (action instanceof SetTimer a) {
                begin(25, 12).putInt(a.tag()).putLong(a.delayNanos());
            } else if (action instanceof Refuse a) {
                begin(23, 16).putLong(a.request()).putLong(a.retryAfterNanos());
            } else if (action instanceof Fail a) {
                begin(19, 8).putLong(a.request());
            } else if (action instanceof Cancel a) {
                begin(21, 9).putLong(a.request()).put((byte) a.attempt());
            } else if (action instanceof TellPeer a) {
                begin(24, 6 + a.payload().length)
                        .putInt(a.to())
                        .putShort((short) a.payload().length)
                        .put(a.payload());
            } else if (action instanceof Probe a) {
                begin(22, 4).putInt((int) a.member());
            } else if (action instanceof CloseIdle a) {
                begin(20, 4).putInt((int) a.member());
            } else if (action instanceof Subscribe) {
                begin(18, 1).put((byte) 1);
            } else if (action instanceof Log a) {
                text(27, a.text());
            }
        }

        /** Declares that an instance's decisions have failed. */
        void crash(int instance, String reason) {
            address(instance);
            text(17, reason);
        }

        private void address(int instance) {
            if (instance != current) {
                begin(16, Short.BYTES).putShort((short) instance);
                current = instance;
            }
        }

        private void text(int code, String text) {
            byte[] bytes =
                    text.substring(0, Math.min(text.length(), TEXT_LIMIT)).getBytes(StandardCharsets.UTF_8);
            begin(code, Short.BYTES + bytes.length)
                    .putShort((short) bytes.length)
                    .put(bytes);
        }

        private ByteBuffer begin(int code, int size) {
            if (out.remaining() < size + 1) {
                ByteBuffer larger =
                        ByteBuffer.allocate(2 * out.capacity() + size).order(ByteOrder.LITTLE_ENDIAN);
                out = larger.put(out.flip());
            }
            records++;
            return out.put((byte) code);
        }

        /** Returns the finished reply and starts the next. */
        byte[] finish() {
            out.putInt(0, out.position() - Long.BYTES).putInt(Integer.BYTES, records);
            byte[] frame = new byte[out.position()];
            out.flip();
            out.get(frame);
            clear();
            return frame;
        }
    }
}
