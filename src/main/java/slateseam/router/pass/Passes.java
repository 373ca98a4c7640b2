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
import slateseam.router.farm.Farm;
import slateseam.router.net.Loop;
import slateseam.router.request.Answer;
import slateseam.router.request.Request;

/** The proxy passes that are out. Which connection carries each is decided by {@link ServerConnections}. */
public final class Passes {
    private static final long PROBE_NANOS = 1_000_000_000L;

    private final Loop loop;
    private final Farm farm;
    private final PassListener listener;
    private final long connectNanos;
    private final Bounds bounds;
    private final ServerConnections connections;
    private final Map<Long, ApplicationServer> servers = new HashMap<>();
    private final Map<Link, ServerConnection> byLink = new HashMap<>();
    private final Map<Long, Pass> byTicket = new HashMap<>();
    /** Given up, but perhaps still out on a connection that others share; of requests that may be sent again. */
    private final Map<Long, Pass> left = new HashMap<>();

    private final Runnable whenWritten;
    private boolean obeying;

    /**
     * Creates the table.
     *
     * @param connectNanos for which a connection may be coming up
     * @param whenWritten is called for each attempt whose last byte was handed to the system
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
     * @param writtenBy when its last byte must have been handed to the system, on the loop's clock; later it is not sent
     */
    public void begin(long ticket, Request request, int attempt, long serverId, long timeoutNanos, long writtenBy) {
        ApplicationServer server = server(serverId);
        if (server == null || !farm.entry(serverId).isReady()) {
            listener.passEnded(ticket, attempt, serverId, Outcome.MOOT, false, null, 0);
            return;
        }
        Pass before = left.remove(ticket);
        if (before != null) {
            tell(c -> c.cut(loop.now(), before));
        }
        Pass pass = new Pass(ticket, attempt, request, server, loop.now(), loop.now() + timeoutNanos, writtenBy);
        byTicket.put(ticket, pass);
        begin(pass, timeoutNanos);
        if (!pass.isTold && !pass.isWritten() && pass.writtenBy < pass.endsAt) {
            pass.unwritten = loop.after(pass.writtenBy - loop.now(), () -> stop(pass, Outcome.TIMEOUT));
        }
    }

    /** Probes a server. */
    public void probe(long serverId) {
        ApplicationServer server = server(serverId);
        if (server == null) {
            listener.happened(new ProbeEnded(serverId, Outcome.MOOT, 0));
        } else {
            begin(new Pass(-1, 0, null, server, loop.now(), loop.now() + PROBE_NANOS, Long.MAX_VALUE), PROBE_NANOS);
        }
    }

    private void begin(Pass pass, long timeoutNanos) {
        pass.timeout = loop.after(timeoutNanos, () -> stop(pass, Outcome.TIMEOUT));
        tell(c -> c.ask(loop.now(), pass));
    }

    /** Stops waiting for an attempt that is out; any other is passed over. */
    public void cancel(long ticket, int attempt) {
        Pass pass = byTicket.get(ticket);
        if (pass != null && pass.attempt == attempt) {
            stop(pass, Outcome.CANCELLED);
        }
    }

    /**
     * The request has its final answer. Guards the rule that nothing is sent on after it: a pass that still waits for its
     * connection must not be written, though the module may let one that is written go on.
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

    private void stop(Pass pass, Outcome outcome) {
        tell(c -> {
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
            tell(c -> c.closeIdle(loop.now(), server.pool()));
        }
    }

    /**
     * The farm has changed: lets go of servers that are no longer in it, and of what waits for one that drains.
     */
    public void farmChanged() {
        for (ApplicationServer server : List.copyOf(servers.values())) {
            Farm.Entry entry = farm.entry(server.id());
            if (entry == null) {
                servers.remove(server.id());
                tell(c -> c.remove(loop.now(), server.pool()));
            } else {
                tell(c -> c.ready(loop.now(), server.pool(), entry.isReady()));
            }
        }
    }

    /** There may be so many connections from now on. */
    public void bound(int mostConnections) {
        tell(c -> c.bound(loop.now(), mostConnections));
    }

    /** Whether a server is the origin, as the farm lists it now. */
    public boolean isOrigin(long serverId) {
        Farm.Entry entry = farm.entry(serverId);
        return entry != null && entry.isOrigin();
    }

    /** What the connections have counted. */
    public Figures figures() {
        return connections.figures();
    }

    /** Whether an answer like the one before is to be checked. */
    boolean repeats(Link link, boolean sameKey) {
        return connections.repeats(loop.now(), link, sameKey);
    }

    /** Tells the connections what happened and carries out what they order. */
    void tell(Consumer<ServerConnections> happening) {
        happening.accept(connections);
        if (obeying) {
            return;
        }
        obeying = true;
        try {
            for (Order order; (order = connections.next()) != null; ) {
                obey(order);
            }
        } finally {
            obeying = false;
        }
    }

    private void obey(Order order) {
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
            loop.after(wake.at() - loop.now(), () -> tell(c -> c.wake(loop.now(), wake.pool())));
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

    /** All of a pass was handed to the system. */
    void written(Pass pass) {
        loop.cancel(pass.unwritten);
        if (!pass.isProbe()) {
            whenWritten.run();
        }
    }

    /** A connection has ended, not by an order. */
    void gone(Link link) {
        byLink.remove(link);
    }

    void end(Pass pass, ServerProtocol.Reply reply) {
        end(pass, reply, reply.value() == null ? null : new Answer.Served(reply.value()));
    }

    /** The same with a value that is on its way; what becomes of that is no matter of the pass. */
    void end(Pass pass, ServerProtocol.Reply reply, Answer served) {
        if (pass.isTold) {
            return;
        }
        pass.isTold = true;
        loop.cancel(pass.timeout);
        loop.cancel(pass.unwritten);
        long duration = loop.now() - pass.begunAt;
        if (pass.isProbe()) {
            listener.happened(new ProbeEnded(pass.server.id(), reply.outcome(), duration));
            return;
        }
        byTicket.remove(pass.ticket, pass);
        listener.passEnded(
                pass.ticket, pass.attempt, pass.server.id(), reply.outcome(), reply.fetching(), served, duration);
    }

    /** The server as the farm lists it now; one that moved to another address begins anew. */
    private ApplicationServer server(long id) {
        Farm.Entry entry = farm.entry(id);
        if (entry == null) {
            return null;
        }
        ApplicationServer server = servers.get(id);
        if (server == null || !server.address().equals(entry.address())) {
            ApplicationServer before = server;
            if (before != null) {
                tell(c -> c.remove(loop.now(), before.pool()));
            }
            server = ApplicationServer.of(entry, connections);
            servers.put(id, server);
            ApplicationServer met = server;
            tell(c -> c.ready(loop.now(), met.pool(), entry.isReady()));
        }
        return server;
    }
}
