package slateseam.router.pass;

import java.nio.ByteBuffer;
import slateseam.decision.Api.Outcome;
import slateseam.router.net.Connection;
import slateseam.router.net.MalformedException;
import slateseam.router.request.Request;

/** How one kind of server is spoken to. */
interface ServerProtocol {
    /** What a server answered; {@code reusable} if the connection can carry another pass. */
    record Reply(Outcome outcome, boolean fetching, byte[] value, boolean reusable) {
        Reply(Outcome outcome) {
            this(outcome, false, null, true);
        }
    }

    /** The buffers that ask for this, when the router will wait so long. */
    ByteBuffer[] command(Request request, long waitMillis);

    /** The buffers of a probe. */
    ByteBuffer[] probe();

    /** The buffer of a command that tells nothing and is answered in order; null where there is none. */
    ByteBuffer fence();

    /**
     * Passes the answer to a fence; false, with the buffer as it was, while it is not whole.
     *
     * @throws MalformedException if what came cannot be that answer
     */
    boolean passFence(ByteBuffer in) throws MalformedException;

    /** Reads the answer to a request; null, with the buffer as it was, while it is not whole. */
    Reply reply(ByteBuffer in) throws MalformedException;

    /** The answer that the server's orderly end has made whole; null where its protocol or its head tells another end. */
    default Reply replyAtEnd(ByteBuffer in) throws MalformedException {
        return null;
    }

    /** Whether only the server's end will tell that the answer which has begun is whole; the buffer stays as it is. */
    default boolean endsWithConnection(ByteBuffer in) throws MalformedException {
        return false;
    }

    /**
     * The beginning of an answer whose value is longer than {@link Connection#LONG_VALUE}.
     *
     * @param length of the value, which lies next in the buffer
     * @param items of the answer that come behind the value and its end
     */
    record Begun(int length, int items, boolean reusable) {}

    /** Reads the beginning of an answer with a long value; null, with the buffer as it was, for any other. */
    Begun begun(ByteBuffer in) throws MalformedException;

    /** Passes what comes behind a long value; false, with the buffer as it was, while it is not whole. */
    boolean passRest(ByteBuffer in, Begun begun) throws MalformedException;

    /** Reads the answer to a probe; null, with the buffer as it was, while it is not whole. */
    Reply probeReply(ByteBuffer in) throws MalformedException;
}
