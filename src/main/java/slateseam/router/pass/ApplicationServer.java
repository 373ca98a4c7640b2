package slateseam.router.pass;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import slateseam.decision.Api.Outcome;
import slateseam.router.farm.Farm;
import slateseam.router.net.Clock;

/** An application server, or the origin, with this router's connections to it. */
final class ApplicationServer {
    /** For bytes that come just behind an answer; a new connection would cost the server and the request far more. */
    private static final long SETTLE_NANOS = 4 * Clock.MILLI;

    private final long id;
    private final Passes passes;
    private final ServerProtocol protocol;
    private final InetSocketAddress address;
    /** Idle connections, the last used first, so that those not needed grow old. */
    private final Deque<ServerConnection> idle = new ArrayDeque<>();
    /** Proxy passes for which there is no connection yet. */
    private final Deque<Pass> waiting = new ArrayDeque<>();
    private final Set<ServerConnection> settling = new HashSet<>();
    private int connecting;

    ApplicationServer(Passes passes, Farm.Entry entry) {
        this.id = entry.member().id();
        this.passes = passes;
        this.address = entry.address();
        this.protocol = entry.isOrigin() ? new HttpOrigin(entry.host()) : new RespServer();
    }

    long id() {
        return id;
    }

    InetSocketAddress address() {
        return address;
    }

    ServerProtocol protocol() {
        return protocol;
    }

    void begin(Pass pass) {
        for (ServerConnection connection; (connection = idle.poll()) != null;) {
            if (connection.isQuiet()) {
                carry(connection, pass);
                return;
            }
        }
        waiting.add(pass);
        openIfNeeded();
    }

    private void openIfNeeded() {
        if (connecting + settling.size() >= waiting.size()) {
            return;
        }
        connecting++;
        try {
            // Want of room here tells nothing of the server.
            if (!passes.open(this)) {
                connectFailed(Outcome.MOOT);
            }
        } catch (IOException e) {
            connectFailed(Outcome.CONNECT_FAILED);
        }
    }

    /** Checked again here, as the farm may have changed while the pass waited for its connection. */
    private void carry(ServerConnection connection, Pass pass) {
        Outcome stays = !passes.mayWrite(this) ? Outcome.MOOT : passes.isLate(pass) ? Outcome.UNSENT : null;
        if (stays == null) {
            connection.carry(pass);
        } else {
            ended(pass, new ServerProtocol.Reply(stays));
            settled(connection);
        }
    }

    void connected(ServerConnection connection) {
        connecting--;
        settled(connection);
    }

    /** An answer has come; the connection goes on once it is known that nothing more belongs to it. */
    void free(ServerConnection connection) {
        settling.add(connection);
        connection.settle(SETTLE_NANOS);
    }

    void settled(ServerConnection connection) {
        settling.remove(connection);
        Pass next = waiting.poll();
        if (next != null) {
            carry(connection, next);
        } else if (passes.isCurrent(this)) {
            idle.push(connection);
            connection.rest(passes.idleNanos());
        } else {
            connection.giveUp();
        }
    }

    /** A connection never came up; a pass that waited for it ends so. */
    void connectFailed(Outcome outcome) {
        connecting--;
        if (waiting.size() > connecting + settling.size()) {
            ended(waiting.poll(), new ServerProtocol.Reply(outcome));
        }
    }

    void lost(ServerConnection connection) {
        idle.remove(connection);
        passes.closed();
        if (settling.remove(connection)) {
            openIfNeeded();
        }
    }

    /** When the connection that has been idle for longest began to be so; never if there is none. */
    long idleSince() {
        return idle.isEmpty() ? Long.MAX_VALUE : idle.peekLast().idleSince();
    }

    void closeLongestIdle() {
        idle.peekLast().giveUp();
    }

    void ended(Pass pass, ServerProtocol.Reply reply) {
        passes.end(pass, reply);
    }

    /** Stops a pass, wherever it is. */
    void stop(Pass pass) {
        if (pass.connection == null) {
            waiting.remove(pass);
        } else {
            pass.connection.giveUp();
        }
    }

    void closeIdle() {
        while (!idle.isEmpty()) {
            idle.peek().giveUp();
        }
    }
}
