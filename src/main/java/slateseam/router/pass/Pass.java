package slateseam.router.pass;

import slateseam.router.connections.servers.Use;
import slateseam.router.net.Deadlines.Deadline;
import slateseam.router.request.Request;

/** A proxy pass: one attempt of a request at one server, or a probe of that server. */
final class Pass extends Use {
    /** The ticket of the request, or of nothing for a probe. */
    final long ticket;

    final int attempt;
    /** Null for a probe. */
    final Request request;

    final ApplicationServer server;
    final long begunAt;
    final long endsAt;
    /** When its last byte must have been handed to the system. */
    final long writtenBy;

    Deadline timeout;
    /** When it is given up unless it is written by then; null where it has all its time for that. */
    Deadline unwritten;
    /** The request has its final answer, so that no other attempt follows. */
    boolean isLast;
    /** Its outcome was told. */
    boolean isTold;

    Pass(
            long ticket,
            int attempt,
            Request request,
            ApplicationServer server,
            long begunAt,
            long endsAt,
            long writtenBy) {
        // What may not run twice stands alone, so that no other's mishap makes its outcome unknown.
        super(server.pool(), Math.min(endsAt, writtenBy), request != null && !request.isWrite());
        this.ticket = ticket;
        this.attempt = attempt;
        this.request = request;
        this.server = server;
        this.begunAt = begunAt;
        this.endsAt = endsAt;
        this.writtenBy = writtenBy;
    }

    boolean isProbe() {
        return request == null;
    }
}
