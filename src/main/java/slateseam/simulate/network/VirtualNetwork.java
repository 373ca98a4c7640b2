package slateseam.simulate.network;

import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.apache.commons.rng.UniformRandomProvider;
import slateseam.standin.Clockwork;
import slateseam.standin.Net;
import slateseam.standin.Party;
import slateseam.standin.Wire;

/**
 * Machines, the network between them and the one clock of all. Happenings are handled one after the other, in the order
 * of their times, and time stands still during each. Faults take effect at the present time.
 */
public final class VirtualNetwork implements Net, Clockwork {
    private final Conditions conditions;
    private final Function<String, UniformRandomProvider> sources;
    private final Timeline timeline = new Timeline();
    private final Digest digest = new Digest();
    private final Paths paths;
    private final Post post;
    private final Map<String, Machine> machines = new HashMap<>();
    /** Those that wait for a path to open, in the order in which they met it closed. */
    private final Set<Flow> stalled = new LinkedHashSet<>();

    private Observer[] observers = new Observer[0];
    private long now;
    private long wires;

    /**
     * Creates a network without machines.
     *
     * @param conditions what it is like
     * @param sources gives a source of random numbers by a name, the same at each call with the same name
     * @param start the present, in Unix nanoseconds
     */
    public VirtualNetwork(Conditions conditions, Function<String, UniformRandomProvider> sources, long start) {
        this.conditions = conditions;
        this.sources = sources;
        this.now = start;
        this.paths = new Paths(conditions.delays(), sources);
        this.post = new Post(this);
    }

    /**
     * Adds a machine at a site, which is new at its first mention.
     *
     * @throws IllegalArgumentException if the IP is none or is taken
     */
    public void machine(String ip, String site) {
        if (machines.containsKey(ip)) {
            throw new IllegalArgumentException("there is a machine " + ip);
        }
        machines.put(ip, new Machine(machines.size(), ip, paths.site(site), sources.apply("machine " + ip)));
    }

    /** Sets the one-way delay between two sites, or inside one. */
    public void distance(String site, String other, long nanos) {
        paths.distance(site, other, nanos);
    }

    /** Lets an address stand for several: a datagram to it goes to each of them but those on the sender's machine. */
    public void group(String address, List<String> members) {
        post.group(address, members);
    }

    /** Begins a process on a machine, whose channels and selectors the provider opens. */
    public VirtualProvider provider(String ip) {
        return new VirtualProvider(this, known(ip));
    }

    /** Adds an observer. */
    public void observe(Observer observer) {
        observers = Arrays.copyOf(observers, observers.length + 1);
        observers[observers.length - 1] = observer;
    }

    @Override
    public long now() {
        return now;
    }

    @Override
    public void at(long time, Runnable action) {
        timeline.add(Math.max(time, now), action);
    }

    /** Handles the next happening; false if there is none. */
    public boolean step() {
        long next = timeline.next();
        if (next == Long.MAX_VALUE) {
            return false;
        }
        now = next;
        timeline.poll().run();
        return true;
    }

    /** Handles all that happens up to a time, which is then the present. */
    public void run(long until) {
        while (timeline.next() <= until) {
            now = timeline.next();
            timeline.poll().run();
        }
        now = Math.max(now, until);
    }

    /** The time of the next happening; {@link Long#MAX_VALUE} if there is none. */
    public long next() {
        return timeline.next();
    }

    /** A hash of all happenings on the network so far: the same in each run with the same sources and calls. */
    public long hash() {
        return digest.value();
    }

    /** How many happenings the hash covers. */
    public long happenings() {
        return digest.happenings();
    }

    /** {@inheritDoc} The sender may be told as an IP or with any port, which counts for nothing. */
    @Override
    public Wire connect(String from, String to, Party party) {
        PartyWire wire = new PartyWire(this);
        End end = connect(
                known(Addresses.ip(from)),
                machines.get(Addresses.ip(to)),
                Addresses.ip(to),
                Addresses.port(to),
                null,
                wire);
        if (end == null) {
            throw new IllegalStateException("no port is free at " + from);
        }
        wire.join(end, party);
        return wire;
    }

    /** Begins to connect; null if no port is free. The target is null if there is no such machine. */
    End connect(Machine from, Machine target, String ip, int port, InetSocketAddress remote, Owner owner) {
        int own = from.takePort();
        if (own < 0) {
            return null;
        }
        long number = ++wires;
        End end = new End(this, number, from, new InetSocketAddress(from.address, own), remote, owner);
        for (Observer o : observers) {
            o.connecting(number, from.ip, ip + ":" + port);
        }
        at(now, new Handshake(this, end, target, port));
        return end;
    }

    @Override
    public void listen(String address, Function<Wire, Party> listener) {
        Machine machine = known(Addresses.ip(address));
        int port = Addresses.port(address);
        if (machine.listeners.containsKey(port)) {
            throw new IllegalStateException("somebody listens at " + address);
        }
        new Listener(
                machine,
                port,
                Integer.MAX_VALUE,
                end -> {
                    PartyWire wire = new PartyWire(this);
                    wire.join(end, null);
                    Party party = listener.apply(wire);
                    if (party == null) {
                        end.reset();
                        return;
                    }
                    wire.join(end, party);
                    end.ownedBy(wire);
                    party.opened(wire);
                },
                null);
    }

    @Override
    public void unlisten(String address) {
        Listener listener = known(Addresses.ip(address)).listeners.get(Addresses.port(address));
        if (listener != null) {
            listener.close();
        }
    }

    /** Ends all that runs on a machine at once: its connections are reset, and new ones refused. */
    public void kill(String ip) {
        Machine machine = known(ip);
        fault(machine);
        List.copyOf(machine.processes).forEach(VirtualProvider::kill);
        List.copyOf(machine.listeners.values()).forEach(Listener::close);
        List.copyOf(machine.ends).forEach(End::reset);
    }

    /**
     * Lets a machine fall silent, or be heard again. Meanwhile what it sends or is sent is held or, if datagrams, lost;
     * afterwards its connections go on.
     */
    public void silence(String ip, boolean on) {
        Machine machine = known(ip);
        fault(machine);
        machine.silent = on;
        resume();
    }

    /**
     * Lets a machine forget its connections and listeners without a word, as if it had lost its power; whoever sends
     * to it on an old connection from now on gets a reset, if it can be heard.
     */
    public void forget(String ip) {
        Machine machine = known(ip);
        fault(machine);
        List.copyOf(machine.ends).forEach(End::vanish);
        kill(ip);
    }

    /** Breaks all open connections of a machine in the network's midst: both sides see a reset, and no side did it. */
    public void reset(String ip) {
        Machine machine = known(ip);
        fault(machine);
        List.copyOf(machine.ends).forEach(End::cut);
    }

    /** Loses this part of all datagrams, 0 to 1, beside what is lost anyway. */
    public void loseDatagrams(double share) {
        post.lose(share);
    }

    /** Lets this part of all datagrams come twice, beside what does anyway. */
    public void doubleDatagrams(double share) {
        post.doubled(share);
    }

    /** Lets this part of all datagrams be overtaken by those behind them. */
    public void swapDatagrams(double share) {
        post.swap(share);
    }

    /** Lets all datagrams that are sent from now on come later by so much. */
    public void delayDatagrams(long nanos) {
        post.late(nanos);
    }

    /** Loses all datagrams from one machine to another, or lets them pass; the other way is left as it is. */
    public void mute(String from, String to, boolean on) {
        fault(known(from));
        paths.mute(known(from), known(to), on);
    }

    /** Holds datagrams from one machine to another, or hands on at once all that were held. */
    public void stall(String from, String to, boolean on) {
        fault(known(from));
        post.stall(known(from), known(to), on);
    }

    /** Closes or opens the way between two machines, for both directions. */
    public void cut(String ip, String other, boolean on) {
        fault(known(ip));
        paths.cut(known(ip), known(other), on);
        resume();
    }

    /** Makes the way between two machines longer by so much, one way, in both directions; 0 undoes it. */
    public void slow(String ip, String other, long nanos) {
        fault(known(ip));
        paths.slow(known(ip), known(other), nanos);
    }

    private void fault(Machine machine) {
        digest.add(now, machine.number, Digest.FAULT, 0);
    }

    private void resume() {
        for (Flow flow : List.copyOf(stalled)) {
            if (flow.mayResume()) {
                stalled.remove(flow);
                flow.resumeSoon();
            }
        }
    }

    /** A flow has met a closed path, and goes on when that opens. */
    void stalled(Flow flow) {
        stalled.add(flow);
    }

    private Machine known(String ip) {
        Machine machine = machines.get(ip);
        if (machine == null) {
            throw new IllegalArgumentException("there is no machine " + ip);
        }
        return machine;
    }

    /** A machine by its IP as text; null if there is none. */
    Machine find(String ip) {
        return machines.get(ip);
    }

    /** The machine of an address, which may be the sender's own; null if there is none. */
    Machine find(Machine from, InetSocketAddress address) {
        return address.getAddress().isLoopbackAddress() || address.getAddress().isAnyLocalAddress()
                ? from
                : machines.get(address.getAddress().getHostAddress());
    }

    Conditions conditions() {
        return conditions;
    }

    Paths paths() {
        return paths;
    }

    Post post() {
        return post;
    }

    Digest digest() {
        return digest;
    }

    Observer[] observers() {
        return observers;
    }
}
