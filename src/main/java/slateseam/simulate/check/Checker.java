package slateseam.simulate.check;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.LongSupplier;
import org.json.JSONObject;
import slateseam.simulate.network.Observer;
import slateseam.standin.Witness;

/**
 * Sees the bytes on all wires and what the stand-ins ran, and says which rules a router broke. It counts as told,
 * written and answered what a router's own system was handed, so that nothing is held against a router that it could
 * not know.
 */
public final class Checker implements Observer, Witness {
    private static final long AGAIN_NANOS = 100_000_000L;
    private static final int LONGEST_DATAGRAM = 256;
    /** After so long what an agent has to tell counts as told, unless the way to it is cut. */
    private static final long TOLD_NANOS = 6_000_000_000L;

    /** A user agent's connection that is not up yet. */
    private record Connecting(String listen, String machine) {}

    private record Watched(long at, long number, Asked asked) {}

    private final Figures figures;
    private final String originClass;
    private final Report report;
    private final Supplies supplies = new Supplies();
    private final ColdStarts coldStarts;
    /** All addresses to which datagrams may go. */
    private final Set<String> peers;

    private final Map<String, RouterState> byListen = new HashMap<>();
    private final Map<String, RouterState> byMachine = new HashMap<>();
    private final Map<String, RouterState> byName = new HashMap<>();
    private final Map<Long, UserWire> userWires = new HashMap<>();
    private final Map<Long, Connecting> connecting = new HashMap<>();
    private final Map<Long, PassWire> passWires = new HashMap<>();
    private final Map<Long, DiscoveryWire> discoveryWires = new HashMap<>();
    private final DayCounts dayCounts;
    private final RequestChecker requestChecker;
    private final PriorityQueue<Watched> watched =
            new PriorityQueue<>(Comparator.comparingLong(Watched::at).thenComparingLong(Watched::number));
    /** Addresses from which what came to a router made no sense, and routers whose user agents sent such. */
    private final Set<String> garbled = new HashSet<>();

    private final Logged logged;
    private final Disturbances disturbances = new Disturbances();
    private long numbers;

    /**
     * Creates a checker.
     *
     * @param originClass the class by which discovery's list marks the origin
     * @param peers the addresses to which routers may send datagrams
     */
    public Checker(Figures figures, String originClass, Collection<String> peers, LongSupplier clock) {
        this.figures = figures;
        this.originClass = originClass;
        this.report = new Report(clock);
        this.coldStarts = new ColdStarts(figures.cold(), report);
        this.dayCounts = new DayCounts(report);
        this.requestChecker = new RequestChecker(figures, report, coldStarts, dayCounts);
        this.logged = new Logged(report, garbled);
        this.peers = Set.copyOf(peers);
    }

    /** A router starts, with the list that it had last; what an earlier one of its name did is over. */
    public void routerStarts(RouterAddresses place, JSONObject known) {
        RouterState router = new RouterState(place, new Told(originClass));
        router.told.take(known, true, report.now());
        byListen.put(place.listen(), router);
        byMachine.put(place.machine(), router);
        byName.put(place.router(), router);
        supplies.forget(place.router());
    }

    /**
     * What a router's agent would tell if it were asked: it counts as told some seconds later, whether or not it was.
     * To be called every second or so.
     */
    public void agentHas(String name, JSONObject list) {
        RouterState router = byName.get(name);
        boolean heard = !router.dead
                && router.place.agents().stream()
                        .allMatch(agent ->
                                isUndisturbed(machine(agent), router.place.machine(), report.now() - TOLD_NANOS));
        router.told.untold(list, heard, report.now(), TOLD_NANOS);
    }

    /** A router is told to end. */
    public void routerEnding(String name) {
        byName.get(name).ending = true;
    }

    /** A router is killed outright, before its sockets break: what it held is void. */
    public void routerKilled(String name) {
        RouterState router = byName.get(name);
        router.dead = true;
        router.asked.values().forEach(asked -> router.end(asked, Asked.State.VOID, report.now()));
        supplies.forget(name);
    }

    /** A router that was told to end had not ended in its time and is killed: what it still held is lost. */
    public void routerKilledLate(String name) {
        RouterState router = byName.get(name);
        router.asked.values().stream()
                .filter(asked -> asked.isOpen() && asked.read)
                .sorted(Comparator.comparingLong((Asked a) -> a.writtenAt).thenComparing(a -> a.id))
                .forEach(asked ->
                        report.breach(Rule.LOST, router, asked.id, "it was killed at the end of a planned end"));
        routerKilled(name);
    }

    /**
     * A server starts, and is cold.
     *
     * @param dial its address
     * @param requestsPerSecond how many requests of mean work it can do once it is warm
     */
    public void serverStarts(String host, String dial, double requestsPerSecond) {
        coldStarts.started(host, dial, requestsPerSecond, report.now());
    }

    /**
     * Something keeps what is written from coming over.
     *
     * @param machine the IP of one machine
     * @param other that of the other; null if it is cut off from all
     * @param on whether it begins now, or is over
     */
    public void disturbed(String machine, String other, boolean on) {
        disturbances.change(machine, other, on, report.now());
    }

    /** A router stands still, or goes on: what it answers meanwhile, and soon after, may be late, and nothing else. */
    public void standsStill(String name, boolean on) {
        RouterState router = byName.get(name);
        router.standsUntil = on ? Long.MAX_VALUE : report.now() + AGAIN_NANOS;
        disturbed(router.place.machine(), null, on);
    }

    boolean isUndisturbed(String machine, String other, long since) {
        return disturbances.none(machine, other, since);
    }

    /** A line of a router's log, as it was written. */
    public void log(String router, String line) {
        logged.line(byName.get(router), line);
    }

    /** A router's loop threw, or it stopped without having been told to. */
    public void crashed(String router, String why) {
        report.breach(Rule.CRASH, router, "", why);
    }

    /** How many descriptors a router holds now. */
    public void descriptors(String name, int count) {
        RouterState router = byName.get(name);
        if (count > figures.descriptors() && router.descriptors <= figures.descriptors()) {
            report.breach(
                    Rule.DESCRIPTORS, router, "", "it holds " + count + " descriptors of " + figures.descriptors());
        }
        router.descriptors = count;
    }

    /** Looks for answers that are overdue; to be called after every step. */
    public void step() {
        long now = report.now();
        while (!watched.isEmpty() && watched.peek().at < now) {
            Asked asked = watched.poll().asked;
            if (!asked.isOpen() || asked.late || !asked.wire.isHead(asked)) {
                continue;
            }
            long due = asked.wire.due(asked);
            if (due >= now) {
                watch(asked, due);
            } else if (now <= asked.wire.router.standsUntil
                    || asked.wire.isUnread()
                    || !asked.read && !asked.wire.isUndisturbed(asked.writtenAt)) {
                watch(asked, now + AGAIN_NANOS);
            } else {
                requestChecker.late(asked, "no answer");
            }
        }
    }

    /**
     * The day is over: judges what is judged over the whole of it.
     *
     * @param calm whether it was one on which routers have no reason to turn away all that they get
     */
    public void over(boolean calm) {
        dayCounts.over(byName.size(), calm);
    }

    /** The rules that were broken so far, in their order; of very many the first. */
    public List<Breach> breaches() {
        return report.first();
    }

    /** How often each rule was broken. */
    public Map<Rule, Long> counts() {
        return report.counts();
    }

    /** How the routers divide the origin's budget. */
    public Supplies supplies() {
        return supplies;
    }

    DayCounts dayCounts() {
        return dayCounts;
    }

    RequestChecker requestChecker() {
        return requestChecker;
    }

    Figures figures() {
        return figures;
    }

    void watch(Asked asked, long at) {
        watched.add(new Watched(at, numbers++, asked));
    }

    void userAgentGarbled(RouterState router) {
        garbled.add(router.name());
    }

    void serverGarbled(RouterState router, String dial) {
        garbled.add(router.name() + " " + dial);
    }

    void heldChanged(RouterState router) {
        if (router.heldBytes > figures.heldBytes() && !router.overfull) {
            router.overfull = true;
            report.breach(Rule.BYTES, router, "", "it holds " + router.heldBytes + " bytes of " + figures.heldBytes());
        }
    }

    @Override
    public void connecting(long wire, String from, String to) {
        RouterState router = byMachine.get(machine(from));
        if (router == null) {
            if (byListen.containsKey(to)) {
                connecting.put(wire, new Connecting(to, machine(from)));
            }
        } else if (router.place.agents().contains(to)) {
            discoveryWires.put(wire, new DiscoveryWire(router, machine(to), this, report));
        } else {
            if (!router.told.knows(to)) {
                report.breach(Rule.DRAIN, router, "", "it connects to " + to + ", which no list named");
            }
            passWires.put(wire, new PassWire(router, to, router.told.isOrigin(to), this, report));
        }
    }

    @Override
    public void up(long wire) {
        Connecting up = connecting.remove(wire);
        if (up != null) {
            // The router that listens now: it may have started after this connection was begun.
            userWires.put(wire, new UserWire(byListen.get(up.listen), up.machine, this, report));
        }
    }

    @Override
    public void sent(long wire, String from, byte[] bytes) {
        UserWire user = userWires.get(wire);
        PassWire pass = user == null ? passWires.get(wire) : null;
        DiscoveryWire discovery = user == null && pass == null ? discoveryWires.get(wire) : null;
        if (user != null) {
            if (isOf(user.router, from)) {
                user.answered(bytes);
            } else {
                user.written(bytes);
            }
        } else if (pass != null && isOf(pass.router, from)) {
            pass.written(bytes);
        } else if (discovery != null && !isOf(discovery.router, from)) {
            discovery.written(bytes);
        }
    }

    @Override
    public void delivered(long wire, String to, byte[] bytes) {
        UserWire user = userWires.get(wire);
        PassWire pass = user == null ? passWires.get(wire) : null;
        if (user != null) {
            if (isOf(user.router, to)) {
                user.read(bytes.length);
            } else {
                user.taken(bytes.length);
            }
        } else if (pass != null) {
            if (isOf(pass.router, to)) {
                pass.answered(bytes);
            } else {
                pass.came(bytes.length);
            }
        } else if (discoveryWires.containsKey(wire) && isOf(discoveryWires.get(wire).router, to)) {
            discoveryWires.get(wire).came(bytes.length);
        }
    }

    @Override
    public void endedBy(long wire, String side) {
        over(wire, side);
    }

    @Override
    public void resetBy(long wire, String side) {
        over(wire, side);
    }

    private void over(long wire, String side) {
        connecting.remove(wire);
        UserWire user = userWires.get(wire);
        PassWire pass = passWires.get(wire);
        DiscoveryWire discovery = discoveryWires.get(wire);
        if (user != null) {
            if (isOf(user.router, side)) {
                user.endedByRouter();
            } else {
                user.left();
            }
        } else if (pass != null) {
            if (isOf(pass.router, side)) {
                pass.endedByRouter();
            } else {
                pass.endedByServer();
            }
        } else if (discovery != null && isOf(discovery.router, side)) {
            discovery.end();
        }
    }

    @Override
    public void datagram(String from, String to, byte[] bytes, boolean lost) {
        RouterState router = byMachine.get(machine(from));
        if (bytes.length > LONGEST_DATAGRAM) {
            report.breach(Rule.DATAGRAM, router, "", "a datagram of " + bytes.length + " bytes");
        }
        if (router == null || !peers.contains(to)) {
            report.breach(Rule.DATAGRAM, router, "", "a datagram from " + from + " to " + to);
        } else {
            supplies.told(router.name(), bytes, report.now());
        }
    }

    @Override
    public void ran(String server, String id, String key, boolean write, String idempotencyKey) {
        if (write && isOnce(id)) {
            requestChecker.ranOnce(server, id);
        }
    }

    /** Whether a request must not run twice, by any router's account of it. */
    private boolean isOnce(String id) {
        for (RouterState router : byName.values()) {
            Asked asked = router.asked.get(id);
            if (asked != null) {
                return asked.figures.repeats() == Figures.Repeats.FORBIDDEN;
            }
        }
        return false;
    }

    @Override
    public void made(String server, String id, byte[] value) {
        requestChecker.made(id, value);
    }

    @Override
    public void fell(String server) {
        String why = coldStarts.fell(server, report.now());
        if (why != null) {
            report.breach(Rule.FALLEN, "", "", server + " fell over: " + why);
        }
    }

    private static boolean isOf(RouterState router, String side) {
        return machine(side).equals(router.place.machine());
    }

    private static String machine(String address) {
        int colon = address.indexOf(':');
        return colon < 0 ? address : address.substring(0, colon);
    }
}
