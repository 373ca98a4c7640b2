package slateseam.router.pass;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import slateseam.decision.Api.Outcome;
import slateseam.router.farm.Farm;

/** An application server, or the origin, with this router's connections to it. */
final class ApplicationServer {
    private final long id;
    private final Passes passes;
    private final ServerProtocol protocol;
    private final InetSocketAddress address;
    /** Idle connections, the last used first, so that those not needed grow old. */
    private final Deque<ServerConnection> idle = new ArrayDeque<>();
    /** Proxy passes for which there is no connection yet. */
    private final Deque<Pass> waiting = new ArrayDeque<>();
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
        ServerConnection connection = idle.poll();
        if (connection != null) {
            carry(connection, pass);
            return;
        }
        waiting.add(pass);
        if (connecting < waiting.size()) {
            open();
        }
    }

    private void open() {
        connecting++;
        try {
            passes.open(this);
        } catch (IOException e) {
            connectFailed();
        }
    }

    /** Checked again here, as the farm may have changed while the pass waited for its connection. */
    private void carry(ServerConnection connection, Pass pass) {
        if (passes.mayWrite(this)) {
            connection.carry(pass);
        } else {
            ended(pass, new ServerProtocol.Reply(Outcome.MOOT));
            free(connection);
        }
    }

    void connected(ServerConnection connection) {
        connecting--;
        free(connection);
    }

    void free(ServerConnection connection) {
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

    /** A connection never came up; a pass that waited for it could not connect. */
    void connectFailed() {
        connecting--;
        if (waiting.size() > connecting) {
            ended(waiting.poll(), new ServerProtocol.Reply(Outcome.CONNECT_FAILED));
        }
    }

    void lost(ServerConnection connection) {
        idle.remove(connection);
        passes.closed();
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
