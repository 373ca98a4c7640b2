package slateseam.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/** A stand-in that takes connections at an address. */
public abstract class Station {
    private static final int MOST_IDS = 4_096;

    /** Time and timers. */
    protected final Clockwork clock;
    /** Its own source of random numbers; null where it draws none. */
    protected final UniformRandomProvider random;

    final Tallies tallies = new Tallies();
    final long idleNanos;
    private final Net net;
    private final int most;
    private final int mostWithSurplus;
    private final boolean refuses;
    private final Set<Link> links = new LinkedHashSet<>();
    private final long salt;
    /** How often each of the last ids was asked. */
    private final Map<String, Integer> asked = new LinkedHashMap<>();

    private String address;
    private boolean up;
    private boolean listening;

    /** Takes {@code most} connections; beyond them it refuses, or takes surplus ones up to a second bound. */
    protected Station(
            Clockwork clock,
            Net net,
            UniformRandomProvider random,
            String address,
            int most,
            int surplus,
            boolean refuses,
            long idleNanos) {
        this.clock = clock;
        this.net = net;
        this.random = random;
        this.salt = random == null ? 0 : random.nextLong();
        this.address = address;
        this.most = most;
        this.mostWithSurplus = most + surplus;
        this.refuses = refuses;
        this.idleNanos = idleNanos;
    }

    /** Makes what a new connection is answered by. */
    protected abstract Link link(Wire wire);

    /**
     * A number for one more time that an id is asked here. What is drawn for a request follows from it alone, so that a
     * request that is added or left out shifts no other's draws.
     */
    final long draws(String id) {
        int times = asked.merge(id, 1, Integer::sum);
        if (asked.size() > MOST_IDS) {
            asked.remove(asked.keySet().iterator().next());
        }
        return Draws.hash(salt + times, id);
    }

    /** The number of connections has changed. */
    void counted(int open) {}

    /** Where it takes connections. */
    public final String address() {
        return address;
    }

    /** What it counted. */
    public final Tallies tallies() {
        return tallies;
    }

    /** Whether it takes connections, unless the table is full. */
    public final boolean isUp() {
        return up;
    }

    /** Open connections. */
    public final int connections() {
        return links.size();
    }

    /** Takes connections from now on. */
    protected final void openUp() {
        up = true;
        listen();
    }

    private void listen() {
        boolean wanted = up && !(refuses && links.size() >= most);
        if (wanted && !listening) {
            net.listen(address, this::take);
        } else if (!wanted && listening) {
            net.unlisten(address);
        }
        listening = wanted;
    }

    private Party take(Wire wire) {
        Link link = link(wire);
        // Whether or not the network tells that a taken connection is up, it gets its place now.
        clock.at(clock.now(), link::settle);
        return link;
    }

    final boolean admit(Link link) {
        boolean room = up && links.size() < mostWithSurplus;
        if (links.size() >= most) {
            tallies.add(Tally.SURPLUS);
        }
        if (room) {
            tallies.add(Tally.CONNECTED);
            links.add(link);
            counted(links.size());
            listen();
        }
        return room;
    }

    final boolean isSurplus() {
        return links.size() > most;
    }

    final void left(Link link) {
        links.remove(link);
        counted(links.size());
        listen();
    }

    /** Refuses connections from now on and resets those that are open. */
    protected final void shutDown() {
        up = false;
        listen();
        links().forEach(Link::cut);
    }

    /** Refuses connections at its address from now on, and takes them at another. */
    protected final void moveTo(String other) {
        boolean was = up;
        up = false;
        listen();
        address = other;
        up = was;
        listen();
    }

    /** The connections that are open now. */
    protected final List<Link> links() {
        return new ArrayList<>(links);
    }
}
