package slateseam.decision;

import static slateseam.decision.World.MS;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import slateseam.decision.Api.*;

/** A simulated ring of routers whose messages may be lost, duplicated and reordered; one seed determines all chance. */
final class Ring {
    record Letter(int from, int to, byte[] payload, long due) {}

    final World[] routers;
    final Random random;
    /** Messages on their way. */
    final List<Letter> post = new ArrayList<>();
    /** All messages that were ever sent. */
    final List<Letter> everything = new ArrayList<>();
    /** How far each router's clock is behind, in nanoseconds. */
    final long[] behind;
    /** Routers that are suspended: they receive messages that arrive meanwhile when they resume. */
    final boolean[] paused;
    /** Routers whose messages are all lost. */
    final boolean[] mute;

    /** Probability that a message is duplicated. */
    final double repeat;
    /** Probability that a message is lost. */
    double loss;

    long now = 1_000_000 * MS;
    /** The largest total of the first account that all routers held at the end of a step, since {@link #watch}. */
    long most;

    /** The smallest such total. */
    long least;

    final List<Tenant> tenants;
    /** Index of the tenant that sends the requests. */
    int asks;

    Ring(int n, long seed, double loss, double repeat) {
        this(n, seed, loss, repeat, List.of(new Tenant("t", 50, 1)));
    }

    Ring(int n, long seed, double loss, double repeat, List<Tenant> tenants) {
        this.tenants = tenants;
        random = new Random(seed);
        this.loss = loss;
        this.repeat = repeat;
        routers = new World[n];
        behind = new long[n];
        paused = new boolean[n];
        mute = new boolean[n];
        for (int i = 0; i < n; i++) {
            start(i);
        }
    }

    /** Starts a router, or restarts it without any of its state. */
    void start(int i) {
        World w = new World(World.settings(i, routers.length, false, tenants), random.nextLong(), now - behind[i]);
        w.fleet(3);
        routers[i] = w;
        collect(i);
    }

    /** Returns a second process of a router, on standby until {@link #takeOver}; no messages reach it. */
    World heir(int i) {
        World w = new World(World.settings(i, routers.length, false, tenants), random.nextLong(), now - behind[i]);
        w.on(new Rests(true));
        w.fleet(3);
        w.actions.clear();
        return w;
    }

    /** Replaces a router's process by its second one; messages of the old process are dropped from now on. */
    void takeOver(int i, World heir) {
        routers[i].on(new Rests(true));
        routers[i] = heir;
        heir.now = now - behind[i];
        heir.on(new Rests(false));
        collect(i);
    }

    private void collect(int i) {
        for (Action a : routers[i].actions) {
            if (a instanceof TellPeer t) {
                for (int copies = random.nextDouble() < repeat ? 2 : 1; copies > 0; copies--) {
                    post.add(new Letter(i, t.to(), t.payload(), now + (1 + random.nextInt(60)) * MS));
                    everything.add(post.get(post.size() - 1));
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
                w.now = now - behind[i];
                for (double m = misses[i]; m > random.nextDouble(); m--) {
                    long r = w.request(random.nextLong() | 1, 0, asks);
                    Send s = w.sent(r);
                    if (s != null && s.member() != World.ORIGIN) {
                        w.end(s, Outcome.MISS, 0, MS);
                    }
                }
                w.on(new TimerFired(1));
                collect(i);
            }
            deliver();
            most = Math.max(most, total(0));
            least = Math.min(least, total(0));
        }
    }

    private void deliver() {
        List<Letter> arrived =
                post.stream().filter(l -> l.due() <= now && !paused[l.to()]).toList();
        post.removeAll(arrived);
        for (Letter l : arrived) {
            if (routers[l.to()] != null && random.nextDouble() >= loss && !mute[l.from()]) {
                routers[l.to()].on(new PeerMessage(l.from(), l.payload()));
                collect(l.to());
            }
        }
    }

    /** Resets the largest and the smallest total to the present one. */
    void watch() {
        most = least = total(0);
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
