package slateseam.router.pass;

import java.io.IOException;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import slateseam.decision.Api.Outcome;
import slateseam.decision.Api.ProbeEnded;
import slateseam.router.farm.Farm;
import slateseam.router.net.Loop;
import slateseam.router.request.Request;

/** The proxy passes that are out. */
public final class Passes {
    private static final long PROBE_NANOS = 1_000_000_000L;
    /** For a pass to be of any use. */
    private static final long LEAST_NANOS = 5_000_000L;
    /** Of the time for which a server keeps an idle connection: closed before that, lest a pass meets the close. */
    private static final double IDLE_PART = 0.8;

    private final Loop loop;
    private final Farm farm;
    private final PassListener listener;
    private final long connectNanos;
    private final long idleNanos;
    private final int mostConnections;
    private final Map<Long, ApplicationServer> servers = new HashMap<>();
    private final Map<Long, Pass> byTicket = new HashMap<>();
    private int connections;

    /** Creates the table; servers keep an idle connection for so long. */
    public Passes(Loop loop, Farm farm, PassListener listener, long connectNanos, long keptNanos,
            int mostConnections) {
        this.loop = loop;
        this.farm = farm;
        this.listener = listener;
        this.connectNanos = connectNanos;
        this.idleNanos = (long) (keptNanos * IDLE_PART);
        this.mostConnections = mostConnections;
    }

    /** Begins an attempt of a request. */
    public void begin(long ticket, Request request, int attempt, long serverId, long timeoutNanos) {
        ApplicationServer server = server(serverId);
        if (server == null || !mayWrite(server)) {
            listener.passEnded(ticket, attempt, serverId, Outcome.MOOT, false, null, 0);
            return;
        }
        Pass pass = new Pass(ticket, attempt, request, server, loop.now(), loop.now() + timeoutNanos);
        byTicket.put(ticket, pass);
        begin(pass, timeoutNanos);
    }

    /** Probes a server. */
    public void probe(long serverId) {
        ApplicationServer server = server(serverId);
        if (server == null) {
            listener.happened(new ProbeEnded(serverId, Outcome.MOOT, 0));
        } else {
            begin(new Pass(-1, 0, null, server, loop.now(), loop.now() + PROBE_NANOS), PROBE_NANOS);
        }
    }

    private void begin(Pass pass, long timeoutNanos) {
        pass.timeout = loop.after(timeoutNanos, () -> stop(pass, Outcome.TIMEOUT));
        pass.server.begin(pass);
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
        Pass pass = byTicket.get(ticket);
        if (pass != null && !pass.written) {
            stop(pass, Outcome.TIMEOUT);
        }
    }

    private void stop(Pass pass, Outcome outcome) {
        pass.server.stop(pass);
        boolean neverSent = outcome == Outcome.TIMEOUT && !pass.written;
        end(pass, new ServerProtocol.Reply(neverSent ? Outcome.UNSENT : outcome));
    }

    /** Closes the idle connections to a server. */
    public void closeIdle(long serverId) {
        ApplicationServer server = servers.get(serverId);
        if (server != null) {
            server.closeIdle();
        }
    }

    /** The farm has changed: lets go of servers that are no longer in it. */
    public void farmChanged() {
        List<ApplicationServer> left = servers.values().stream().filter(s -> farm.entry(s.id()) == null).toList();
        for (ApplicationServer server : left) {
            servers.remove(server.id());
            server.closeIdle();
        }
    }

    /** Whether a server is the origin, as the farm lists it now. */
    public boolean isOrigin(long serverId) {
        Farm.Entry entry = farm.entry(serverId);
        return entry != null && entry.isOrigin();
    }

    void end(Pass pass, ServerProtocol.Reply reply) {
        loop.cancel(pass.timeout);
        long duration = loop.now() - pass.begunAt;
        if (pass.isProbe()) {
            listener.happened(new ProbeEnded(pass.server.id(), reply.outcome(), duration));
            return;
        }
        byTicket.remove(pass.ticket, pass);
        listener.passEnded(pass.ticket, pass.attempt, pass.server.id(), reply.outcome(), reply.fetching(),
                reply.value(), duration);
    }

    /** The server as the farm lists it now; one that moved to another address begins anew. */
    private ApplicationServer server(long id) {
        Farm.Entry entry = farm.entry(id);
        ApplicationServer server = servers.get(id);
        if (entry != null && (server == null || !server.address().equals(entry.address()))) {
            if (server != null) {
                server.closeIdle();
            }
            server = new ApplicationServer(this, entry);
            servers.put(id, server);
        }
        return entry == null ? null : server;
    }

    boolean isCurrent(ApplicationServer server) {
        return servers.get(server.id()) == server;
    }

    boolean mayWrite(ApplicationServer server) {
        Farm.Entry entry = farm.entry(server.id());
        return isCurrent(server) && entry != null && entry.isReady();
    }

    /** Guards against writing what could only cross the request's final answer. */
    boolean isLate(Pass pass) {
        return pass.endsAt - loop.now() < LEAST_NANOS;
    }

    long idleNanos() {
        return idleNanos;
    }

    /** Opens a connection to a server; whether there was room for one. */
    boolean open(ApplicationServer server) throws IOException {
        if (connections >= mostConnections) {
            // Guards against one server's idle connections starving another.
            servers.values().stream().filter(s -> s.idleSince() < Long.MAX_VALUE)
                    .min(Comparator.comparingLong(ApplicationServer::idleSince))
                    .ifPresent(ApplicationServer::closeLongestIdle);
        }
        if (connections >= mostConnections) {
            loop.log().line("pool-full", "all " + mostConnections + " connections to servers are in use");
            return false;
        }
        new ServerConnection(loop, server, connectNanos);
        connections++;
        return true;
    }

    void closed() {
        connections--;
    }
}
