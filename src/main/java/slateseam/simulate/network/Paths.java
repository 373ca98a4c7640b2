package slateseam.simulate.network;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.apache.commons.rng.UniformRandomProvider;

/** The ways between machines: how long they are, and which are closed. */
final class Paths {
    private final Conditions.Delays delays;
    private final Function<String, UniformRandomProvider> sources;
    private final List<String> sites = new ArrayList<>();
    private long[][] base = new long[0][];
    private final Set<Long> cut = new HashSet<>();
    /** Datagrams alone, in one direction. */
    private final Set<Long> mute = new HashSet<>();

    private final Map<Long, Long> extra = new HashMap<>();

    Paths(Conditions.Delays delays, Function<String, UniformRandomProvider> sources) {
        this.delays = delays;
        this.sources = sources;
    }

    /** The number of a site, which is new at its first mention. */
    int site(String name) {
        int known = sites.indexOf(name);
        if (known >= 0) {
            return known;
        }
        sites.add(name);
        int count = sites.size();
        long[][] larger = new long[count][count];
        for (int a = 0; a < count; a++) {
            for (int b = 0; b < count; b++) {
                larger[a][b] = a < count - 1 && b < count - 1 ? base[a][b] : draw(sites.get(a), sites.get(b));
            }
        }
        base = larger;
        return count - 1;
    }

    /** The same whichever site was named first, and whatever other sites there are. */
    private long draw(String a, String b) {
        boolean ordered = a.compareTo(b) <= 0;
        UniformRandomProvider source = sources.apply("path " + (ordered ? a + " " + b : b + " " + a));
        boolean inside = a.equals(b);
        long least = inside ? delays.leastInside() : delays.leastBetween();
        return least + source.nextLong((inside ? delays.mostInside() : delays.mostBetween()) - least + 1);
    }

    /** Sets the delay between two sites, one way. */
    void distance(String a, String b, long nanos) {
        int first = site(a);
        int second = site(b);
        base[first][second] = nanos;
        base[second][first] = nanos;
    }

    /** How long what is sent now is on its way; drawn from the sender's source. */
    long delay(Machine from, Machine to) {
        if (from == to) {
            return delays.local();
        }
        long nanos = base[from.site][to.site];
        if (delays.jitter() > 0) {
            nanos += (long) (from.random.nextDouble() * delays.jitter() * nanos);
        }
        return nanos + extra(from, to);
    }

    /** What a slow path adds. */
    long extra(Machine from, Machine to) {
        return extra.isEmpty() ? 0 : extra.getOrDefault(pair(from, to), 0L);
    }

    /** Whether nothing gets from one to the other. */
    boolean isClosed(Machine a, Machine b) {
        return a != b && (a.silent || b.silent || !cut.isEmpty() && cut.contains(pair(a, b)));
    }

    void cut(Machine a, Machine b, boolean on) {
        if (on) {
            cut.add(pair(a, b));
        } else {
            cut.remove(pair(a, b));
        }
    }

    /** Whether no datagram gets from one to the other. */
    boolean isMute(Machine from, Machine to) {
        return !mute.isEmpty() && mute.contains(way(from, to));
    }

    void mute(Machine from, Machine to, boolean on) {
        if (on) {
            mute.add(way(from, to));
        } else {
            mute.remove(way(from, to));
        }
    }

    static long way(Machine from, Machine to) {
        return (long) from.number << 32 | to.number;
    }

    void slow(Machine a, Machine b, long nanos) {
        if (nanos == 0) {
            extra.remove(pair(a, b));
        } else {
            extra.put(pair(a, b), nanos);
        }
    }

    private static long pair(Machine a, Machine b) {
        return (long) Math.min(a.number, b.number) << 32 | Math.max(a.number, b.number);
    }
}
