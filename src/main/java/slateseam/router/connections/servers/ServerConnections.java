package slateseam.router.connections.servers;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;

/**
 * Manages all connections to servers. Callers report each event with its time in nanoseconds and then execute the
 * commands that {@link #next} returns until it returns null. Not thread-safe.
 *
 * <p>Limits: {@link Bounds#mostConnections} connections in all. Where connections are shared, a quarter of them (at
 * least 4) may be without a first answer, and 2 to 16 for one server, with {@link Pool#MAX_USES_PER_CONNECTION} uses on one
 * connection; otherwise all may, and 2 to 32 for one server. The number of waiting uses is not limited; each waits
 * until shortly before its deadline.
 */
public final class ServerConnections {
    /**
     * The fraction of the time for which servers keep an idle connection after which the router closes it, so that
     * no use meets the close by the server.
     */
    private static final double IDLE_TIMEOUT_FRACTION = 0.8;

    private static final int MIN_UNANSWERED_LIMIT = 4;
    /**
     * The divisor that gives the share of all connections that may be without a first answer where uses can share
     * connections meanwhile.
     */
    private static final int UNANSWERED_DIVISOR = 4;

    final Bounds bounds;
    /** The current limit on the number of connections. */
    private int maxConnections;

    final long keepNanos;
    final LatencyEstimates learned = new LatencyEstimates(null);
    /** Stray bytes that came from more than one server; all servers are then assumed to send them. */
    final FaultMemory noise = new FaultMemory();

    final FaultMemory breaks = new FaultMemory();
    private final int maxUnanswered;
    private final List<Pool> pools = new ArrayList<>();
    private final Queue<Order> orders = new ArrayDeque<>();
    /** Pools to serve again once fewer connections are opening elsewhere. */
    private final Set<Pool> deferred = new LinkedHashSet<>();

    private final Map<Closing, Long> closed = new EnumMap<>(Closing.class);
    private Pool lastNoisy;
    private Pool lastBroken;
    private int open;
    private int unanswered;
    private long opened;
    private long cameUp;
    private long reused;
    private long shared;
    private long verified;

    /** Creates the connections without any server. */
    public ServerConnections(Bounds bounds) {
        this.bounds = bounds;
        this.maxConnections = bounds.mostConnections();
        this.keepNanos = (long) (bounds.idleNanos() * IDLE_TIMEOUT_FRACTION);
        this.maxUnanswered = Math.max(
                MIN_UNANSWERED_LIMIT, bounds.mostConnections() / (bounds.streams() > 1 ? UNANSWERED_DIVISOR : 1));
    }

    /**
     * Adds a server.
     *
     * @param shares whether the server accepts requests behind an outstanding one and answers in order
     * @param fences whether the server answers, in order, a command without effect that serves as a fence; otherwise
     *     a connection carries one use while the server is known to send unrequested bytes
     */
    public Pool add(boolean shares, boolean fences) {
        Pool pool = new Pool(this, shares, fences);
        pools.add(pool);
        return pool;
    }

    /** Removes a server. It is treated as not ready for good; outstanding uses continue. */
    public void remove(long now, Pool pool) {
        ready(now, pool, false);
        deferred.remove(pool);
        pools.remove(pool);
    }

    /**
     * Sets whether a server accepts new uses. When it does not, waiting uses end and connections without outstanding
     * uses are closed.
     */
    public void ready(long now, Pool pool, boolean ready) {
        pool.setReady(now, ready);
        serveDeferred(now);
    }

    /** Closes the idle connections of an overloaded server, except for its last connection. */
    public void closeIdle(long now, Pool pool) {
        pool.spare(now);
        pool.serve(now);
        serveDeferred(now);
    }

    /** Requests a connection for a use. A command follows that either writes the use or ends it. */
    public void ask(long now, Use use) {
        use.pool.ask(now, use);
        serveDeferred(now);
    }

    /**
     * Abandons a use; no command about it follows. A use that is alone on its connection closes it, unless its
     * answer is due and it is the last use of its request. A use that shares its connection stays there. An answer
     * to a use that stays is still consumed and reported, but has no recipient, unless the use is {@link #cut}.
     *
     * @param last whether nothing will be sent in place of the use
     */
    public void giveUp(long now, Use use, boolean last) {
        use.pool.giveUp(now, use, last);
        serveDeferred(now);
    }

    /**
     * Closes the connection that still carries an abandoned use, because its content is to be sent again and must
     * not be executed twice.
     */
    public void cut(long now, Use use) {
        use.pool.cut(now, use);
        serveDeferred(now);
    }

    /** Reports that a connection is established. */
    public void up(long now, Link link) {
        if (link.state == Link.State.COMING_UP) {
            cameUp++;
            link.pool.up(now, link);
            serveDeferred(now);
        }
    }

    /** Reports that a connection was refused or not established in time; it is closed. */
    public void failed(long now, Link link) {
        if (link.state == Link.State.COMING_UP) {
            link.pool.failed(now, link);
            serveDeferred(now);
        }
    }

    /**
     * Reports the complete answer to the first outstanding use on a connection.
     *
     * @param reusable whether the connection can carry further uses
     * @param more whether bytes follow the answer
     */
    public void answered(long now, Link link, boolean reusable, boolean more) {
        if (link.isOpen()) {
            link.pool.answered(now, link, reusable, more);
            serveDeferred(now);
        }
    }

    /**
     * Returns whether the bytes received as the answer to the first outstanding use are taken for it. With
     * {@link Trust#VERIFY} the caller writes a fence command and holds this answer, and those behind it, until the
     * reply to that; {@link #answered} follows for each of them, or {@link #spoilt}. With {@link Trust#REJECT}
     * {@link #spoilt} follows.
     */
    public Trust trust(long now, Link link) {
        Trust trust = link.isOpen() ? link.pool.trust(now, link) : Trust.REJECT;
        verified += trust == Trust.VERIFY ? 1 : 0;
        return trust;
    }

    /** Reports bytes that belong to no outstanding use, or not to the first one. */
    public void noise(long now, Link link) {
        if (link.isOpen()) {
            link.pool.noise(now, link);
            serveDeferred(now);
        }
    }

    /** Reports that the answer to the first outstanding use cannot be parsed or is none; that use ends. */
    public void spoilt(long now, Link link) {
        if (link.isOpen()) {
            link.pool.spoilt(now, link);
            serveDeferred(now);
        }
    }

    /** Reports that the rest of the answer to the first outstanding use did not come in time; that use ends. */
    public void unfinished(long now, Link link) {
        if (link.isOpen()) {
            link.pool.unfinished(now, link);
            serveDeferred(now);
        }
    }

    /** Reports that an established connection was closed other than by a command. */
    public void broken(long now, Link link) {
        if (link.isOpen()) {
            link.pool.broken(now, link);
            serveDeferred(now);
        }
    }

    /** Reports that the time of a {@link Order.Wake} has come. */
    public void wake(long now, Pool pool) {
        pool.wake(now);
        serveDeferred(now);
    }

    /** Sets the limit on the number of connections; connections beyond the limit are closed when they are idle. */
    public void bound(long now, int newMaximum) {
        maxConnections = newMaximum;
        for (int before = open + 1; open > maxConnections && open < before; ) {
            before = open;
            makeRoom(now);
        }
    }

    /** Returns the next command, or null if there is none. */
    public Order next() {
        return orders.poll();
    }

    /** Returns the current statistics. */
    public Figures figures() {
        return new Figures(
                opened,
                cameUp,
                reused,
                shared,
                verified,
                Map.copyOf(closed),
                open,
                unanswered,
                pools.stream().mapToInt(Pool::waiting).sum());
    }

    void order(Order order) {
        orders.add(order);
    }

    void given(Link link, Use use) {
        reused += link.isUnanswered() ? 0 : 1;
        shared += use.behind ? 1 : 0;
        order(new Order.Carry(link, use));
    }

    /** Returns whether one more connection may be opened now; if not, the pool is served again when that changes. */
    boolean mayOpen(Pool pool) {
        if (unanswered < maxUnanswered) {
            return true;
        }
        deferred.add(pool);
        return false;
    }

    /**
     * Makes room for a connection by closing the longest idle connection of the server that has the most, so that
     * the idle connections of one server do not starve another. Returns whether there is room.
     */
    boolean makeRoom(long now) {
        if (isFull()) {
            pools.stream()
                    .flatMap(pool -> pool.links.stream())
                    .filter(Link::isFree)
                    .min(Comparator.<Link>comparingInt(link -> -link.pool.links.size())
                            .thenComparingLong(link -> link.freeSince))
                    .ifPresent(link -> {
                        link.pool.lose(now, link, Closing.ROOM, true);
                        deferred.add(
                                link.pool); // uses that waited for the pause of this connection must be served anew
                    });
        }
        return open < maxConnections;
    }

    /** Returns whether a further connection can be opened only in place of another. */
    boolean isFull() {
        return open >= maxConnections;
    }

    void opened(Link link) {
        opened++;
        open++;
        unanswered++;
        order(new Order.Open(link));
    }

    /** Records that a connection has delivered its first answer. */
    void firstAnswerReceived() {
        unanswered--;
    }

    void closed(Link link, Closing cause) {
        closed.merge(cause, 1L, Long::sum);
        open--;
        unanswered -= link.isUnanswered() ? 1 : 0;
    }

    void recordFault(long now, Pool pool) {
        if (lastNoisy != null && lastNoisy != pool && lastNoisy.noise.isSuspect(now)) {
            noise.recordFault(now);
        }
        lastNoisy = pool;
    }

    void recordBreak(long now, Pool pool) {
        if (lastBroken != null && lastBroken != pool && lastBroken.breaks.isSuspect(now)) {
            breaks.recordFault(now);
        }
        lastBroken = pool;
    }

    private void serveDeferred(long now) {
        while (!deferred.isEmpty() && unanswered < maxUnanswered) {
            Pool pool = deferred.iterator().next();
            deferred.remove(pool);
            pool.serve(now);
        }
    }
}
