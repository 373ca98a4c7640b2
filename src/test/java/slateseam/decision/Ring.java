package slateseam.decision;

import static slateseam.decision.World.MS;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import slateseam.decision.Api.*;

/** A simulated ring of routers whose messages may be lost, duplicated and reordered; one seed determines all chance. */
final class Ring {
    record Datagram(int from, int to, byte[] payload, long due) {}

    final World[] routers;
    final Random random;
    /** Messages on their way. */
    final List<Datagram> inTransit = new ArrayList<>();
    /** All messages that were ever sent. */
    final List<Datagram> sentMessages = new ArrayList<>();
    /** How far each router's clock is behind, in nanoseconds. */
    final long[] clockLagNanos;
    /** Routers that are suspended: they receive messages that arrive meanwhile when they resume. */
    final boolean[] paused;
    /** Routers whose messages are all lost. */
    final boolean[] silenced;

    /** Probability that a message is duplicated. */
    final double duplication;
    /** Probability that a message is lost. */
    double loss;

    long now = 1_000_000 * MS;
    /** The largest total of the first account that all routers held at the end of a step, since {@link #resetExtremes}. */
    long maxTotal;

    /** The smallest such total. */
    long minTotal;

    final List<Tenant> tenants;
    /** Index of the tenant that sends the requests. */
    int requestingTenant;

    Ring(int n, long seed, double loss, double duplication) {
        this(n, seed, loss, duplication, List.of(new Tenant("t", 50, 1)));
    }

    Ring(int n, long seed, double loss, double duplication, List<Tenant> tenants) {
        this.tenants = tenants;
        random = new Random(seed);
        this.loss = loss;
        this.duplication = duplication;
        routers = new World[n];
        clockLagNanos = new long[n];
        paused = new boolean[n];
        silenced = new boolean[n];
        for (int i = 0; i < n; i++) {
            start(i);
        }
    }

    /** Starts a router, or restarts it without any of its state. */
    void start(int i) {
        World w =
                new World(World.settings(i, routers.length, false, tenants), random.nextLong(), now - clockLagNanos[i]);
        w.fleet(3);
        routers[i] = w;
        collect(i);
    }

    /** Returns a second process of a router, on standby until {@link #takeOver}; no messages reach it. */
    World startStandby(int i) {
        World w =
                new World(World.settings(i, routers.length, false, tenants), random.nextLong(), now - clockLagNanos[i]);
        w.on(new Rests(true));
        w.fleet(3);
        w.actions.clear();
        return w;
    }

    /** Replaces a router's process by its second one; messages of the old process are dropped from now on. */
    void takeOver(int i, World standby) {
        routers[i].on(new Rests(true));
        routers[i] = standby;
        standby.now = now - clockLagNanos[i];
        standby.on(new Rests(false));
        collect(i);
    }

    private void collect(int i) {
        for (Action a : routers[i].actions) {
            if (a instanceof TellPeer t) {
                for (int copies = random.nextDouble() < duplication ? 2 : 1; copies > 0; copies--) {
                    inTransit.add(new Datagram(i, t.to(), t.payload(), now + (1 + random.nextInt(60)) * MS));
                    sentMessages.add(inTransit.get(inTransit.size() - 1));
                }
            }
        }
        routers[i].actions.clear();
    }

    /** Lets time pass in steps of 10 ms, in each of which router i gets {@code misses[i]} cache misses on average. */
    void pass(long nanos, double... misses) {
        for (long end = now + nanos; now < end; ) {
            now += 10 * MS;
            for (int i = 0; i < routers.length; i++) {
                if (routers[i] == null || paused[i]) {
                    continue;
                }
                World w = routers[i];
                w.now = now - clockLagNanos[i];
                for (double m = misses[i]; m > random.nextDouble(); m--) {
                    long r = w.request(random.nextLong() | 1, 0, requestingTenant);
                    Send s = w.sent(r);
                    if (s != null && s.member() != World.ORIGIN) {
                        w.end(s, Outcome.MISS, 0, MS);
                    }
                }
                w.on(new TimerFired(1));
                collect(i);
            }
            deliver();
            maxTotal = Math.max(maxTotal, total(0));
            minTotal = Math.min(minTotal, total(0));
        }
    }

    private void deliver() {
        List<Datagram> arrived = inTransit.stream()
                .filter(l -> l.due() <= now && !paused[l.to()])
                .toList();
        inTransit.removeAll(arrived);
        for (Datagram l : arrived) {
            if (routers[l.to()] != null && random.nextDouble() >= loss && !silenced[l.from()]) {
                routers[l.to()].on(new PeerMessage(l.from(), l.payload()));
                collect(l.to());
            }
        }
    }

    /** Resets the largest and the smallest total to the present one. */
    void resetExtremes() {
        maxTotal = minTotal = total(0);
    }

    /** Returns the units of an account that a router may use; 0 while it is away or waits for its neighbours. */
    int held(int router, int account) {
        World w = routers[router];
        boolean joined = w != null && (boolean) SupplyTest.field(w.brain, "budgets", "joined");
        return joined ? SupplyTest.accounts(w.brain).get(account).held() : 0;
    }

    /** Returns the units of an account that all routers together may use. */
    long total(int account) {
        long total = 0;
        for (int i = 0; i < routers.length; i++) {
            total += Math.max(0, held(i, account));
        }
        return total;
    }
}
