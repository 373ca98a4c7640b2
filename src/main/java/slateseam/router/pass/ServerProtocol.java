package slateseam.router.pass;

import java.nio.ByteBuffer;
import slateseam.decision.Api.Outcome;
import slateseam.router.net.Connection;
import slateseam.router.net.MalformedException;
import slateseam.router.request.Request;

/** The protocol of one kind of server: encodes requests and probes, and parses the replies. */
interface ServerProtocol {
    /**
     * A parsed reply of a server.
     *
     * @param fetching whether the server missed and reports that a fetch of the key is already pending
     * @param value the value; null unless the outcome is OK
     * @param reusable whether the connection can carry another pass
     */
    record Reply(Outcome outcome, boolean fetching, byte[] value, boolean reusable) {
        Reply(Outcome outcome) {
            this(outcome, false, null, true);
        }
    }

    /**
     * Encodes a request.
     *
     * @param waitMillis how long the router will wait for the reply, which the server is told, in milliseconds
     */
    ByteBuffer[] command(Request request, long waitMillis);

    /** Encodes a health probe. */
    ByteBuffer[] probe();

    /** Returns whether the server answers a {@link Fence} in order, by replies that no request has. */
    boolean hasFence();

    /** Returns whether the next byte in the buffer can be the first one of a reply. Leaves the buffer unchanged. */
    boolean beginsReply(ByteBuffer in);

    /** Reads the reply to a request. Returns null and leaves the buffer unchanged while the reply is incomplete. */
    Reply reply(ByteBuffer in) throws MalformedException;

    /**
     * Reads a reply that is delimited by the orderly close of the connection. Returns null where the protocol or the
     * reply's head delimits the reply in another way.
     */
    default Reply replyAtEnd(ByteBuffer in) throws MalformedException {
        return null;
    }

    /**
     * Returns whether the reply being received is delimited only by the server closing the connection. Leaves the
     * buffer unchanged.
     */
    default boolean endsWithConnection(ByteBuffer in) throws MalformedException {
        return false;
    }

    /**
     * The beginning of a reply whose value is longer than {@link Connection#LONG_VALUE} and is therefore streamed.
     *
     * @param length the length of the value in bytes; the value is next in the buffer
     * @param items the number of items of the reply that follow the value and its terminator
     * @param reusable whether the connection can carry another pass after the reply
     */
    record LongReplyHead(int length, int items, boolean reusable) {}

    /**
     * Reads the beginning of a reply with a long value. Returns null and leaves the buffer unchanged for any other
     * reply.
     */
    LongReplyHead readLongReplyHead(ByteBuffer in) throws MalformedException;

    /**
     * Skips what follows a long value. Returns false and leaves the buffer unchanged while that part is incomplete.
     */
    boolean skipRest(ByteBuffer in, LongReplyHead head) throws MalformedException;

    /** Reads the reply to a probe. Returns null and leaves the buffer unchanged while the reply is incomplete. */
    Reply probeReply(ByteBuffer in) throws MalformedException;
}
