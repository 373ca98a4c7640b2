package slateseam.router.connections.servers;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * A model of routers and servers in virtual time, including the work of handshakes at the servers. A server
 * processes handshakes and requests in the order of arrival on a few cores; the answers of a connection are sent in
 * order.
 */
final class FarmModel {
    private static final double HANDSHAKE = 17e6;
    private static final double WORK = 14e6;

    record Event(long at, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    final class Server {
        final long[] coreFreeAt;
        final long delay;
        double cold = 1;
        boolean silent;
        boolean refuses;
        int handshakes;

        Server(int cores, long delay) {
            coreFreeAt = new long[cores];
            this.delay = delay;
        }

        long work(double nanos) {
            Arrays.sort(coreFreeAt);
            coreFreeAt[0] = Math.max(coreFreeAt[0], now) + (long) (nanos * cold);
            return coreFreeAt[0];
        }
    }

    /** The state of a connection at both ends. */
    private static final class Wire {
        final Server server;
        boolean greeted;
        boolean broken;
        /** The time at which the last answer is sent. */
        long lastAt;

        final Deque<Call> out = new ArrayDeque<>();

        Wire(Server server) {
            this.server = server;
        }
    }

    final class Call extends Use {
        final long askedAt = now;
        long servedAt;
        boolean failed;

        Call(Pool pool, long endsAt) {
            super(pool, endsAt, true);
        }
    }

    final class Router {
        final ServerConnections connections;
        final Map<Pool, Server> servers = new HashMap<>();
        final List<Pool> pools = new ArrayList<>();
        private final Map<Link, Wire> wires = new HashMap<>();

        Router(int streams) {
            connections = new ServerConnections(new Bounds(130, 60_000_000_000L, streams, false));
        }

        void add(Server server) {
            Pool pool = connections.add(true, true);
            pools.add(pool);
            servers.put(pool, server);
        }

        private void obey() {
            for (Order order; (order = connections.next()) != null; ) {
                if (order instanceof Order.Open open) {
                    open(open.link());
                } else if (order instanceof Order.Carry carry && carry.holds()) {
                    carry(carry.link(), (Call) carry.use());
                } else if (order instanceof Order.Close close) {
                    Wire wire = wires.remove(close.link());
                    if (wire != null) {
                        wire.broken = true;
                    }
                } else if (order instanceof Order.Ended ended) {
                    ((Call) ended.use()).failed = true;
                } else if (order instanceof Order.Wake wake) {
                    at(wake.at(), () -> {
                        connections.wake(now, wake.pool());
                        obey();
                    });
                }
            }
        }

        private void open(Link link) {
            Server server = servers.get(link.pool());
            wires.put(link, new Wire(server));
            at(now + 20_000, () -> {
                if (server.refuses) {
                    connections.failed(now, link);
                } else {
                    connections.up(now, link);
                }
                obey();
            });
        }

        private void carry(Link link, Call call) {
            Wire wire = wires.get(link);
            call.begin();
            call.markWritten();
            wire.out.add(call);
            Server server = wire.server;
            if (server.silent) {
                return;
            }
            // A TLS handshake takes two round trips and the server's work before the request is read.
            long way = server.delay / 2 + (wire.greeted ? 0 : 2 * server.delay);
            boolean first = !wire.greeted;
            wire.greeted = true;
            at(Math.max(now, wire.lastAt - server.delay) + way, () -> {
                server.handshakes += first ? 1 : 0;
                long done = server.work(first ? HANDSHAKE : 0);
                done = Math.max(done, server.work(WORK * (0.5 + random.nextDouble())));
                wire.lastAt = Math.max(wire.lastAt, done + server.delay / 2);
                at(wire.lastAt, () -> answered(link, wire));
            });
        }

        private void answered(Link link, Wire wire) {
            if (wire.broken) {
                return;
            }
            Call call = wire.out.remove();
            call.servedAt = call.isGivenUp() ? 0 : now;
            connections.answered(now, link, true, false);
            obey();
        }

        void ask(Pool pool, long nanos, List<Call> calls) {
            Call call = new Call(pool, now + nanos);
            calls.add(call);
            connections.ask(now, call);
            obey();
            at(now + nanos, () -> {
                if (call.servedAt == 0 && !call.failed) {
                    connections.giveUp(now, call, false);
                    obey();
                }
            });
        }
    }

    final SplittableRandom random;
    long now;
    private long numbers;
    private final PriorityQueue<Event> events = new PriorityQueue<>();

    FarmModel(long seed) {
        random = new SplittableRandom(seed);
    }

    void at(long time, Runnable action) {
        events.add(new Event(time, numbers++, action));
    }

    void run(long until) {
        while (!events.isEmpty() && events.peek().at <= until) {
            Event next = events.poll();
            now = next.at;
            next.action.run();
        }
        now = until;
    }

    /**
     * Sends requests from now until the given time, at the given rate per second, to any of the servers of the
     * router.
     */
    void load(Router router, long until, double perSecond, long nanos, List<Call> calls) {
        long gap = (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9);
        if (now + gap < until) {
            at(now + gap, () -> {
                router.ask(router.pools.get(random.nextInt(router.pools.size())), nanos, calls);
                load(router, until, perSecond, nanos, calls);
            });
        }
    }
}
