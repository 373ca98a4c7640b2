package slateseam.router.pass;

import java.nio.ByteBuffer;
import slateseam.router.connections.servers.Use;
import slateseam.router.net.Bytes;
import slateseam.router.net.Deadlines.Deadline;
import slateseam.router.request.Request;

/** A proxy pass: one attempt of a request at one server, or a probe of that server. */
final class Pass extends Use {
    /** The number under which the request is reported to the listener; -1 for a probe. */
    final long ticket;

    final int attempt;
    /** Null for a probe. */
    final Request request;

    final ApplicationServer server;
    /** When the pass was begun, on the loop's clock, in nanoseconds. */
    final long begunAt;

    /** When the pass times out, on the loop's clock, in nanoseconds. */
    final long endsAt;
    /** By when the last byte must have been handed to the operating system, on the loop's clock, in nanoseconds. */
    final long writtenBy;

    /** When the request is due, on the loop's clock, in nanoseconds: until then a long reply may take to arrive. */
    long answerBy;

    Deadline timeout;
    /**
     * Gives the pass up at {@link #writtenBy} unless it is written by then; null if the pass has until its timeout.
     */
    Deadline writeDeadline;
    /** Whether the request has its final answer, so that no further attempt follows. */
    boolean isLast;
    /** Whether a long reply has begun to arrive, which is collected. */
    boolean hasLongReply;
    /** Whether the outcome has been reported to the listener. */
    boolean isReported;

    Pass(
            long ticket,
            int attempt,
            Request request,
            ApplicationServer server,
            long begunAt,
            long endsAt,
            long writtenBy) {
        // A write must not run twice, so it does not share
        // a connection: a failure of another pass there
        // would leave the outcome of the write unknown.
        super(server.pool(), Math.min(endsAt, writtenBy), request != null && !request.isWrite());
        this.ticket = ticket;
        this.attempt = attempt;
        this.request = request;
        this.server = server;
        this.begunAt = begunAt;
        this.endsAt = endsAt;
        this.answerBy = endsAt;
        this.writtenBy = writtenBy;
    }

    boolean isProbe() {
        return request == null;
    }

    /** Returns the id of the request and the number of the attempt, for the log; not for a probe. */
    String idText() {
        return Bytes.text(ByteBuffer.wrap(request.id())) + " attempt " + attempt;
    }
}
