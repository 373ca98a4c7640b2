package slateseam.decision;

import static slateseam.decision.World.MS;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import slateseam.decision.Api.*;

/** A ring of instances whose messages may be lost, doubled and overtaken; all chance comes from one seed. */
final class Ring {
    record Letter(int from, int to, byte[] payload, long due) {}

    final World[] routers;
    final Random random;
    final List<Letter> post = new ArrayList<>();
    /** All that was ever sent. */
    final List<Letter> everything = new ArrayList<>();
    /** By how much each router's clock is behind. */
    final long[] behind;
    /** Those that stand still: they are there, and hear afterwards what came meanwhile. */
    final boolean[] paused;
    /** Those whose messages get nowhere. */
    final boolean[] mute;

    final double repeat;
    double loss;
    long now = 1_000_000 * MS;
    /** The most that the routers held together at the end of a step, since it was last set. */
    long most;

    long least;

    final List<Tenant> tenants;
    /** Whose requests come; by its place among the tenants. */
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

    void start(int i) {
        World w = new World(World.settings(i, routers.length, false, tenants), random.nextLong(), now - behind[i]);
        w.fleet(3);
        routers[i] = w;
        collect(i);
    }

    /** A further process of a router, which is to take over and has not yet; it is talked to by nobody. */
    World heir(int i) {
        World w = new World(World.settings(i, routers.length, false, tenants), random.nextLong(), now - behind[i]);
        w.on(new Rests(true));
        w.fleet(3);
        w.actions.clear();
        return w;
    }

    /** It takes over: what the process before does from now on reaches nobody. */
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

    /** Lets time pass in steps of 10 ms, in each of which routers get so many requests that miss. */
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

    /** Forgets the most and the least so far. */
    void watch() {
        most = least = total(0);
    }

    /** What a router may use of an account; nothing while it is away or waits for its neighbours. */
    int held(int router, int account) {
        World w = routers[router];
        boolean joined = w != null && (boolean) SupplyTest.field(w.brain, "budgets", "joined");
        return joined ? SupplyTest.accounts(w.brain).get(account).held() : 0;
    }

    /** What all routers may use together. */
    long total(int account) {
        long total = 0;
        for (int i = 0; i < routers.length; i++) {
            total += Math.max(0, held(i, account));
        }
        return total;
    }
}
