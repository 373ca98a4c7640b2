package slateseam.simulate.tier;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import slateseam.simulate.tier.MembersWorld.Ways;

/** Datagrams between numbered machines and a virtual clock, with all that may befall the ways between them. */
final class TierNet {
    private static final long MILLI = 1_000_000L;
    /** More than there are machines. */
    private static final long SPREAD = 1_000_003L;

    private record Event(long at, long order, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private final SplittableRandom random;
    /** How many faults cut a way. */
    private final Map<Long, Integer> cuts = new HashMap<>();

    private final Map<Long, List<Runnable>> stalled = new HashMap<>();
    private Ways ways;
    private long now = MembersWorld.BEGIN;
    private long orders;

    TierNet(SplittableRandom random, Ways ways) {
        this.random = random;
        this.ways = ways;
    }

    long now() {
        return now;
    }

    /** Datagrams fare so from now on. */
    void ways(Ways changed) {
        ways = changed;
    }

    /** Does something at a time from now. */
    void after(long nanos, Runnable action) {
        events.add(new Event(now + nanos, orders++, action));
    }

    /** One sends another a datagram, which arrives so, once, twice or never. */
    void post(int from, int to, Runnable arrives) {
        if (cuts.containsKey(way(from, to)) || ways.lost() > 0 && random.nextDouble() < ways.lost()) {
            return;
        }
        for (int copies = ways.doubled() > 0 && random.nextDouble() < ways.doubled() ? 2 : 1; copies > 0; copies--) {
            long delay = ways.leastNanos()
                    + random.nextLong(ways.mostNanos() - ways.leastNanos() + 1)
                    + (ways.swapped() > 0 && random.nextDouble() < ways.swapped() ? random.nextLong(250 * MILLI) : 0);
            after(delay, () -> arrive(from, to, arrives));
        }
    }

    private void arrive(int from, int to, Runnable arrives) {
        List<Runnable> held = stalled.get(way(from, to));
        if (held != null) {
            held.add(() -> arrive(from, to, arrives));
        } else if (!cuts.containsKey(way(from, to))) {
            arrives.run();
        }
    }

    /** Of a pair of machines; no shift, as a long's hash is its halves' difference and all ways of one length would collide. */
    private static long way(int from, int to) {
        return from * SPREAD + to;
    }

    /** Nothing gets from one to another, or does again. */
    void cut(int from, int to, boolean on) {
        int faults = cuts.merge(way(from, to), on ? 1 : -1, Integer::sum);
        if (faults == 0) {
            cuts.remove(way(from, to));
        }
    }

    /** What one sends to another is held, or comes at once. */
    void stall(int from, int to, boolean on) {
        if (on) {
            stalled.putIfAbsent(way(from, to), new ArrayList<>());
        } else {
            List<Runnable> held = stalled.remove(way(from, to));
            if (held != null) {
                held.forEach(Runnable::run);
            }
        }
    }

    /** Nothing gets from it to any of so many, or does again. */
    void mute(int index, int all, boolean on) {
        for (int other = 0; other < all; other++) {
            cut(index, other, on);
        }
    }

    /** Nothing gets to it, or does again. */
    void deaf(int index, int all, boolean on) {
        for (int other = 0; other < all; other++) {
            cut(other, index, on);
        }
    }

    /** Nothing passes between the first so many and the others, or does again. */
    void halve(int first, int all, boolean on) {
        for (int i = 0; i < first; i++) {
            for (int j = first; j < all; j++) {
                cut(i, j, on);
                cut(j, i, on);
            }
        }
    }

    /** Lets time pass, with a look after each step. */
    void run(long nanos, Runnable look) {
        long end = now + nanos;
        while (!events.isEmpty() && events.peek().at <= end) {
            Event next = events.poll();
            now = next.at;
            next.action.run();
            look.run();
        }
        now = end;
    }
}
