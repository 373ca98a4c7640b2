package slateseam.router.connections.servers;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import slateseam.router.connections.servers.Order.Why;

/** Executes the commands of the module in virtual time and records their results. */
final class Rig {
    static final long MILLI = 1_000_000L;
    static final long SECOND = 1_000_000_000L;

    static final class Request extends Use {
        Link on;
        long carriedAt;
        Why why;
        boolean served;

        Request(Pool pool, long endsAt, boolean shares) {
            super(pool, endsAt, shares);
        }
    }

    final ServerConnections connections;
    final List<Link> comingUp = new ArrayList<>();
    final Map<Link, List<Request>> up = new LinkedHashMap<>();
    final List<Link> closed = new ArrayList<>();
    private final TreeMap<Long, List<Pool>> wakes = new TreeMap<>();
    long now = SECOND;

    Rig(int mostConnections, int streams) {
        connections = new ServerConnections(new Bounds(mostConnections, 60 * SECOND, streams, false));
    }

    Pool server(boolean shares) {
        return connections.add(shares, shares);
    }

    Request ask(Pool pool) {
        return ask(pool, 480, true);
    }

    Request ask(Pool pool, long millis, boolean shares) {
        Request request = new Request(pool, now + millis * MILLI, shares);
        connections.ask(now, request);
        obey();
        return request;
    }

    /** Advances the time and makes the scheduled calls. */
    void pass(double millis) {
        long end = now + (long) (millis * MILLI);
        while (!wakes.isEmpty() && wakes.firstKey() <= end) {
            Map.Entry<Long, List<Pool>> next = wakes.pollFirstEntry();
            now = Math.max(now, next.getKey());
            next.getValue().forEach(pool -> connections.wake(now, pool));
            obey();
        }
        now = end;
    }

    void comeUp() {
        while (!comingUp.isEmpty()) {
            comeUp(comingUp.get(0));
        }
    }

    void comeUp(Link link) {
        comingUp.remove(link);
        up.put(link, new ArrayList<>());
        connections.up(now, link);
        obey();
    }

    void refuse(Link link) {
        comingUp.remove(link);
        connections.failed(now, link);
        obey();
    }

    /** Answers the first outstanding use on each connection. */
    void answerAll() {
        for (Link link : List.copyOf(up.keySet())) {
            if (!up.getOrDefault(link, List.of()).isEmpty()) {
                answer(link);
            }
        }
    }

    /** Answers the first outstanding use on a connection. */
    void answer(Link link) {
        answer(link, false);
    }

    void answer(Link link, boolean more) {
        Request first = up.get(link).remove(0);
        first.served = !first.isGivenUp();
        connections.answered(now, link, true, more);
        obey();
    }

    void spoil(Link link) {
        up.get(link).remove(0).served = true; // the use has ended, whatever arrived
        connections.spoilt(now, link);
        obey();
    }

    void breakOff(Link link) {
        up.remove(link);
        connections.broken(now, link);
        obey();
    }

    void noise(Link link) {
        connections.noise(now, link);
        obey();
    }

    void giveUp(Request request) {
        giveUp(request, false);
    }

    void giveUp(Request request, boolean last) {
        connections.giveUp(now, request, last);
        obey();
    }

    void obey() {
        for (Order order; (order = connections.next()) != null; ) {
            if (order instanceof Order.Open open) {
                comingUp.add(open.link());
            } else if (order instanceof Order.Carry carry && carry.holds()) {
                carry((Request) carry.use(), carry.link());
            } else if (order instanceof Order.Close close) {
                comingUp.remove(close.link());
                up.remove(close.link());
                closed.add(close.link());
            } else if (order instanceof Order.Ended ended) {
                Request request = (Request) ended.use();
                if (request.why != null || request.served) {
                    throw new AssertionError("ended twice");
                }
                request.why = ended.why();
            } else if (order instanceof Order.Wake wake) {
                wakes.computeIfAbsent(wake.at(), at -> new ArrayList<>()).add(wake.pool());
            }
        }
    }

    private void carry(Request request, Link link) {
        if (request.on != null) {
            throw new AssertionError("written twice");
        }
        request.begin();
        request.markWritten();
        request.on = link;
        request.carriedAt = now;
        up.get(link).add(request);
    }
}
