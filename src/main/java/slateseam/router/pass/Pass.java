package slateseam.router.pass;

import slateseam.router.net.Deadlines.Deadline;
import slateseam.router.request.Request;

/** A proxy pass: one attempt of a request at one server, or a probe of that server. */
final class Pass {
    /** The ticket of the request, or of nothing for a probe. */
    final long ticket;
    final int attempt;
    /** Null for a probe. */
    final Request request;
    final ApplicationServer server;
    final long begunAt;
    final long endsAt;
    Deadline timeout;
    /** What carries it; null while it waits for a connection. */
    ServerConnection connection;
    boolean written;

    Pass(long ticket, int attempt, Request request, ApplicationServer server, long begunAt, long endsAt) {
        this.ticket = ticket;
        this.attempt = attempt;
        this.request = request;
        this.server = server;
        this.begunAt = begunAt;
        this.endsAt = endsAt;
    }

    boolean isProbe() {
        return request == null;
    }
}
