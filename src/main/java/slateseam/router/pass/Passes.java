package slateseam.router.pass;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import slateseam.decision.Api.Outcome;
import slateseam.decision.Api.ProbeEnded;
import slateseam.router.connections.servers.Bounds;
import slateseam.router.connections.servers.Figures;
import slateseam.router.connections.servers.Link;
import slateseam.router.connections.servers.Order;
import slateseam.router.connections.servers.ServerConnections;
import slateseam.router.connections.servers.Trust;
import slateseam.router.farm.Farm;
import slateseam.router.net.Loop;
import slateseam.router.request.Answer;
import slateseam.router.request.Request;

/**
 * The proxy passes and probes in progress. {@link ServerConnections} decides which connection carries each of them;
 * this class carries out its orders on real sockets and reports the outcomes to a {@link PassListener}.
 */
public final class Passes {
    /** Timeout of a health probe: 1 s. */
    private static final long PROBE_TIMEOUT_NANOS = 1_000_000_000L;

    private final Loop loop;
    private final Farm farm;
    private final PassListener listener;
    private final long connectNanos;
    private final Bounds bounds;
    private final ServerConnections connections;
    private final Map<Long, ApplicationServer> servers = new HashMap<>();
    private final Map<Link, ServerConnection> byLink = new HashMap<>();
    private final Map<Long, Pass> byTicket = new HashMap<>();
    /**
     * Attempts that were given up but may still be outstanding on a shared connection, by ticket. Holds only
     * attempts of requests that may be sent again: a further attempt cuts the earlier one off.
     */
    private final Map<Long, Pass> left = new HashMap<>();

    private final Runnable whenWritten;
    private boolean executing;

    /**
     * Creates an empty table.
     *
     * @param connectNanos the connect timeout, in nanoseconds
     * @param whenWritten called for each attempt (not for probes) whose last byte was handed to the operating system
     */
    public Passes(Loop loop, Farm farm, PassListener listener, long connectNanos, Bounds bounds, Runnable whenWritten) {
        this.loop = loop;
        this.farm = farm;
        this.listener = listener;
        this.connectNanos = connectNanos;
        this.bounds = bounds;
        this.whenWritten = whenWritten;
        this.connections = new ServerConnections(bounds);
    }

    /**
     * Begins an attempt of a request.
     *
     * @param ticket the number under which the end of the attempt is reported
     * @param timeoutNanos how long the reply is waited for, in nanoseconds
     * @param writtenBy by when the last byte must have been handed to the operating system, in nanoseconds on the
     *     loop's clock; an attempt that is not written by then is given up
     * @param answerBy by when the request is due, in nanoseconds on the loop's clock; a long reply that has begun to
     *     arrive has until then
     */
    public void begin(
            long ticket,
            Request request,
            int attempt,
            long serverId,
            long timeoutNanos,
            long writtenBy,
            long answerBy) {
        ApplicationServer server = server(serverId);
        if (server == null || !farm.entry(serverId).isReady()) {
            listener.passEnded(ticket, attempt, serverId, Outcome.MOOT, false, null, 0);
            return;
        }
        Pass before = left.remove(ticket);
        if (before != null) {
            report(c -> c.cut(loop.now(), before));
        }
        Pass pass = new Pass(ticket, attempt, request, server, loop.now(), loop.now() + timeoutNanos, writtenBy);
        pass.answerBy = answerBy;
        byTicket.put(ticket, pass);
        begin(pass, timeoutNanos);
        if (!pass.isReported && !pass.isWritten() && pass.writtenBy < pass.endsAt) {
            pass.writeDeadline = loop.after(pass.writtenBy - loop.now(), () -> stop(pass, Outcome.TIMEOUT));
        }
    }

    /** Sends a health probe to a server and reports its outcome as a {@link ProbeEnded} event. */
    public void probe(long serverId) {
        ApplicationServer server = server(serverId);
        if (server == null) {
            listener.happened(new ProbeEnded(serverId, Outcome.MOOT, 0));
        } else {
            begin(
                    new Pass(-1, 0, null, server, loop.now(), loop.now() + PROBE_TIMEOUT_NANOS, Long.MAX_VALUE),
                    PROBE_TIMEOUT_NANOS);
        }
    }

    private void begin(Pass pass, long timeoutNanos) {
        pass.timeout = loop.after(timeoutNanos, () -> stop(pass, Outcome.TIMEOUT));
        report(c -> c.ask(loop.now(), pass));
    }

    /** Cancels an attempt that is in progress; does nothing if the request has no such attempt in progress. */
    public void cancel(long ticket, int attempt) {
        Pass pass = byTicket.get(ticket);
        if (pass != null && pass.attempt == attempt) {
            stop(pass, Outcome.CANCELLED);
        }
    }

    /**
     * Called when the request has its final answer. Nothing may be sent for a request after that: a pass that still
     * waits for its connection is given up, whereas the decision module may let a written pass continue.
     */
    public void answered(long ticket) {
        left.remove(ticket);
        Pass pass = byTicket.get(ticket);
        if (pass != null) {
            pass.isLast = true;
            if (!pass.isWritten()) {
                stop(pass, Outcome.TIMEOUT);
            }
        }
    }

    /** Called when a long reply has begun to arrive: its pass has until its request is due. */
    void longReplyBegun(Pass pass) {
        if (!pass.isReported && !pass.hasLongReply) {
            pass.hasLongReply = true;
            loop.cancel(pass.timeout);
            pass.timeout = loop.after(pass.answerBy - loop.now(), () -> stop(pass, Outcome.TIMEOUT));
        }
    }

    private void stop(Pass pass, Outcome outcome) {
        report(c -> {
            if (!pass.isProbe() && !pass.isLast) {
                left.put(pass.ticket, pass);
            }
            c.giveUp(loop.now(), pass, pass.isLast && outcome == Outcome.CANCELLED);
            boolean neverSent = outcome == Outcome.TIMEOUT && !pass.isWritten();
            end(pass, new ServerProtocol.Reply(neverSent ? Outcome.UNSENT : outcome));
        });
    }

    /** Closes the idle connections to a server. */
    public void closeIdle(long serverId) {
        ApplicationServer server = servers.get(serverId);
        if (server != null) {
            report(c -> c.closeIdle(loop.now(), server.pool()));
        }
    }

    /**
     * Called when the farm has changed. Removes servers that have left the farm, and ends the passes that wait for a
     * connection to a server that has begun to drain.
     */
    public void farmChanged() {
        for (ApplicationServer server : List.copyOf(servers.values())) {
            Farm.Entry entry = farm.entry(server.id());
            if (entry == null) {
                servers.remove(server.id());
                report(c -> c.remove(loop.now(), server.pool()));
            } else {
                report(c -> c.ready(loop.now(), server.pool(), entry.isReady()));
            }
        }
    }

    /** Sets the maximum number of connections to servers. */
    public void bound(int maxConnections) {
        report(c -> c.bound(loop.now(), maxConnections));
    }

    /** Returns whether the farm currently lists a server as the origin. */
    public boolean isOrigin(long serverId) {
        Farm.Entry entry = farm.entry(serverId);
        return entry != null && entry.isOrigin();
    }

    /** Returns the counters of all connections to servers. */
    public Figures figures() {
        return connections.figures();
    }

    /** Returns of how many commands a fence consists: of two where they cost nothing. */
    int fenceCommands() {
        return bounds.freeFences() ? 2 : 1;
    }

    /** Returns whether the reply received on a connection is taken for the answer to its first outstanding pass. */
    Trust trust(Link link) {
        return connections.trust(loop.now(), link);
    }

    /**
     * Reports an event to {@link ServerConnections} and carries out the orders that follow from it. A nested call
     * only reports the event; the outermost call carries out the orders.
     */
    void report(Consumer<ServerConnections> event) {
        event.accept(connections);
        if (executing) {
            return;
        }
        executing = true;
        try {
            for (Order order; (order = connections.next()) != null; ) {
                execute(order);
            }
        } finally {
            executing = false;
        }
    }

    private void execute(Order order) {
        if (order instanceof Order.Carry carry) {
            if (carry.holds()) {
                byLink.get(carry.link()).carry((Pass) carry.use());
            }
        } else if (order instanceof Order.Open open) {
            open(open.link());
        } else if (order instanceof Order.Close close) {
            ServerConnection connection = byLink.remove(close.link());
            if (connection != null) {
                connection.end();
            }
        } else if (order instanceof Order.Ended ended) {
            end((Pass) ended.use(), new ServerProtocol.Reply(outcome(ended)));
        } else if (order instanceof Order.Wake wake) {
            loop.after(wake.at() - loop.now(), () -> report(c -> c.wake(loop.now(), wake.pool())));
        }
    }

    private Outcome outcome(Order.Ended ended) {
        return switch (ended.why()) {
            case NO_ROOM -> {
                loop.log().line("pool-full", "all " + bounds.mostConnections() + " connections to servers are in use");
                yield Outcome.MOOT;
            }
            case NOT_UP -> Outcome.CONNECT_FAILED;
            case LATE -> Outcome.UNSENT;
            case SERVER_GONE -> Outcome.MOOT;
            case DROPPED -> ended.use().isWritten() ? Outcome.CANCELLED : Outcome.MOOT;
            case CUT -> ended.use().isWritten() ? Outcome.RESET : Outcome.CONNECT_FAILED;
        };
    }

    private void open(Link link) {
        ApplicationServer server = servers.values().stream()
                .filter(s -> s.pool() == link.pool())
                .findAny()
                .orElse(null);
        try {
            if (server != null) {
                byLink.put(link, new ServerConnection(loop, this, server, link, connectNanos));
                return;
            }
        } catch (IOException e) {
            loop.log().line("socket-error", e.toString());
        }
        connections.failed(loop.now(), link);
    }

    /** Called when all bytes of a pass have been handed to the operating system. */
    void written(Pass pass) {
        loop.cancel(pass.writeDeadline);
        if (!pass.isProbe()) {
            whenWritten.run();
        }
    }

    /** Called when a connection has ended for another reason than an order. */
    void gone(Link link) {
        byLink.remove(link);
    }

    void end(Pass pass, ServerProtocol.Reply reply) {
        end(pass, reply, reply.value() == null ? null : new Answer.Served(reply.value()));
    }

    /**
     * Ends a pass and reports its outcome once. A streamed value may still be arriving; whether the rest of that
     * value comes no longer affects the pass.
     */
    void end(Pass pass, ServerProtocol.Reply reply, Answer served) {
        if (pass.isReported) {
            return;
        }
        pass.isReported = true;
        loop.cancel(pass.timeout);
        loop.cancel(pass.writeDeadline);
        long duration = loop.now() - pass.begunAt;
        if (pass.isProbe()) {
            listener.happened(new ProbeEnded(pass.server.id(), reply.outcome(), duration));
            return;
        }
        byTicket.remove(pass.ticket, pass);
        listener.passEnded(
                pass.ticket, pass.attempt, pass.server.id(), reply.outcome(), reply.fetching(), served, duration);
    }

    /**
     * Returns the server as the farm currently lists it, or null. A server whose address has changed gets a new
     * entry with new connections.
     */
    private ApplicationServer server(long id) {
        Farm.Entry entry = farm.entry(id);
        if (entry == null) {
            return null;
        }
        ApplicationServer server = servers.get(id);
        if (server == null || !server.address().equals(entry.address())) {
            ApplicationServer before = server;
            if (before != null) {
                report(c -> c.remove(loop.now(), before.pool()));
            }
            server = ApplicationServer.of(entry, connections);
            servers.put(id, server);
            ApplicationServer created = server;
            report(c -> c.ready(loop.now(), created.pool(), entry.isReady()));
        }
        return server;
    }
}
