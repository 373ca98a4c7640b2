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
 * All connections to servers: it is told what happens, each time with the time in nanoseconds, and gives orders. Whoever
 * tells it something carries out what {@link #next} gives until that is null. Not thread-safe.
 *
 * <p>Bounds: {@link Bounds#mostConnections} in all. Where connections are shared a quarter of them (4 at least) may be
 * without a first answer, and of one server 2 to 16, with {@link Pool#MOST_SHARED} uses on one; else all, and of one server
 * 2 to 32. Uses that wait are as many as the caller asks for, each until
 * shortly before its end.
 */
public final class ServerConnections {
    /** Of the time for which servers keep an idle connection: closed before that, lest a use meets the close. */
    private static final double IDLE_PART = 0.8;

    private static final int LEAST_COMING = 4;
    /** Of all connections, those that may be without a first answer where uses can stand behind others meanwhile. */
    private static final int YOUNG_PART = 4;

    final Bounds bounds;
    /** Connections that there may be now. */
    private int most;

    final long keepNanos;
    final Learned learned = new Learned(null);
    /** Heard of more than one server: then the others are like them. */
    final Noise noise = new Noise();

    final Noise breaks = new Noise();
    private final int mostYoung;
    private final List<Pool> pools = new ArrayList<>();
    private final Queue<Order> orders = new ArrayDeque<>();
    /** Pools to be served again, once fewer connections come up elsewhere. */
    private final Set<Pool> held = new LinkedHashSet<>();

    private final Map<Closing, Long> closed = new EnumMap<>(Closing.class);
    private Pool lastNoisy;
    private Pool lastBroken;
    private int open;
    private int young;
    private long opened;
    private long cameUp;
    private long reused;
    private long shared;
    private long checked;

    /** Creates it without servers. */
    public ServerConnections(Bounds bounds) {
        this.bounds = bounds;
        this.most = bounds.mostConnections();
        this.keepNanos = (long) (bounds.idleNanos() * IDLE_PART);
        this.mostYoung = Math.max(LEAST_COMING, bounds.mostConnections() / (bounds.streams() > 1 ? YOUNG_PART : 1));
    }

    /**
     * Begins with a server.
     *
     * @param shares whether it takes requests behind one that is out, and answers in order
     * @param fences whether it answers, in order, a command that tells nothing; else each connection rests after an answer
     */
    public Pool add(boolean shares, boolean fences) {
        Pool pool = new Pool(this, shares, fences);
        pools.add(pool);
        return pool;
    }

    /** A server has left: as one that is not ready, for good. What is out there goes on. */
    public void remove(long now, Pool pool) {
        ready(now, pool, false);
        held.remove(pool);
        pools.remove(pool);
    }

    /** A server wants new uses, or wants none any more: then those that wait end, and what carries nothing is closed. */
    public void ready(long now, Pool pool, boolean ready) {
        pool.setReady(now, ready);
        serveHeld(now);
    }

    /** A server is crowded: closes its connections that carry nothing, but for the last of all. */
    public void closeIdle(long now, Pool pool) {
        pool.spare(now);
        pool.serve(now);
        serveHeld(now);
    }

    /** A use asks for a connection. An order to carry it follows, or one that ends it. */
    public void ask(long now, Use use) {
        use.pool.ask(now, use);
        serveHeld(now);
    }

    /**
     * Nobody waits for a use any more; no order about it follows. One that is alone on its connection ends it, but for one
     * whose answer is due and that is the last of its request. One that others share it with stays there. What stays is
     * answered as before, for nobody, unless it is {@link #cut}.
     *
     * @param last whether nothing will be sent in its place
     */
    public void giveUp(long now, Use use, boolean last) {
        use.pool.giveUp(now, use, last);
        serveHeld(now);
    }

    /** Guards against a second copy: what a use stands for is to be sent again, so whatever still carries it is closed. */
    public void cut(long now, Use use) {
        use.pool.cut(now, use);
        serveHeld(now);
    }

    /** A connection is up. */
    public void up(long now, Link link) {
        if (link.state == Link.State.COMING_UP) {
            cameUp++;
            link.pool.up(now, link);
            serveHeld(now);
        }
    }

    /** A connection was refused, or did not come up in time; it is closed. */
    public void failed(long now, Link link) {
        if (link.state == Link.State.COMING_UP) {
            link.pool.failed(now, link);
            serveHeld(now);
        }
    }

    /**
     * The use that is first on a connection has its whole answer.
     *
     * @param reusable whether the connection can carry more
     * @param more whether bytes lie behind the answer
     */
    public void answered(long now, Link link, boolean reusable, boolean more) {
        if (link.isOpen()) {
            link.pool.answered(now, link, reusable, more);
            serveHeld(now);
        }
    }

    /**
     * The answer to what is first on a connection has the same bytes as the one before, for the same key or another. Whether
     * it is to be held until a fence, written now, tells if it is its own: {@link #answered} follows for it and what is out
     * behind it, or {@link #spoilt}.
     */
    public boolean repeats(long now, Link link, boolean sameKey) {
        boolean check = link.isOpen() && link.pool.repeats(now, link, sameKey);
        checked += check ? 1 : 0;
        return check;
    }

    /** Bytes came that belong to nothing that is out, or not to what is first there. */
    public void noise(long now, Link link) {
        if (link.isOpen()) {
            link.pool.noise(now, link);
            serveHeld(now);
        }
    }

    /** The answer of what is first on a connection cannot be read, or did not come whole; that use is over. */
    public void spoilt(long now, Link link) {
        if (link.isOpen()) {
            link.pool.spoilt(now, link);
            serveHeld(now);
        }
    }

    /** A connection that was up is closed, not by an order. */
    public void broken(long now, Link link) {
        if (link.isOpen()) {
            link.pool.broken(now, link);
            serveHeld(now);
        }
    }

    /** The time of a {@link Order.Wake} has come. */
    public void wake(long now, Pool pool) {
        pool.wake(now);
        serveHeld(now);
    }

    /** There may be so many connections from now on; those beyond that go as they are idle. */
    public void bound(long now, int mostConnections) {
        most = mostConnections;
        for (int before = open + 1; open > most && open < before; ) {
            before = open;
            makeRoom(now);
        }
    }

    /** The next order; null if there is none. */
    public Order next() {
        return orders.poll();
    }

    /** What it has counted. */
    public Figures figures() {
        return new Figures(
                opened,
                cameUp,
                reused,
                shared,
                checked,
                Map.copyOf(closed),
                open,
                young,
                pools.stream().mapToInt(Pool::waiting).sum());
    }

    void order(Order order) {
        orders.add(order);
    }

    void given(Link link, Use use) {
        reused += link.isYoung() ? 0 : 1;
        shared += use.behind ? 1 : 0;
        order(new Order.Carry(link, use));
    }

    /** Whether one more may come up now; if not, the pool is served again when that has changed. */
    boolean mayOpen(Pool pool) {
        if (young < mostYoung) {
            return true;
        }
        held.add(pool);
        return false;
    }

    /** Guards against one server's idle connections starving another: of the server that has most, the longest idle. */
    boolean makeRoom(long now) {
        if (open >= most) {
            pools.stream()
                    .flatMap(pool -> pool.links.stream())
                    .filter(Link::isFree)
                    .min(Comparator.<Link>comparingInt(link -> -link.pool.links.size())
                            .thenComparingLong(link -> link.freeSince))
                    .ifPresent(link -> {
                        link.pool.lose(now, link, Closing.ROOM, true);
                        held.add(link.pool); // what waited there for its rest must not wait for nothing
                    });
        }
        return open < most;
    }

    void opened(Link link) {
        opened++;
        open++;
        young++;
        order(new Order.Open(link));
    }

    /** A connection has brought its first answer. */
    void grown() {
        young--;
    }

    void closed(Link link, Closing cause) {
        closed.merge(cause, 1L, Long::sum);
        open--;
        young -= link.isYoung() ? 1 : 0;
    }

    void heard(long now, Pool pool, long late) {
        if (lastNoisy != null && lastNoisy != pool && lastNoisy.noise.isSuspect(now)) {
            noise.heard(now, late);
        }
        lastNoisy = pool;
    }

    void heardBreak(long now, Pool pool) {
        if (lastBroken != null && lastBroken != pool && lastBroken.breaks.isSuspect(now)) {
            breaks.heard(now, 0);
        }
        lastBroken = pool;
    }

    private void serveHeld(long now) {
        while (!held.isEmpty() && young < mostYoung) {
            Pool pool = held.iterator().next();
            held.remove(pool);
            pool.serve(now);
        }
    }
}
