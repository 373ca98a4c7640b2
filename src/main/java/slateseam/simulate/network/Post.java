package slateseam.simulate.network;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Carries datagrams: late, in order unless drawn otherwise, or not at all. */
final class Post {
    /** How long after its time a datagram may come that others overtake. */
    private static final long MOST_OVERTAKEN = 250_000_000L;

    private final VirtualNetwork net;
    private final Map<String, List<String>> groups = new HashMap<>();
    /** What ways hold that are stalled, by way. */
    private final Map<Long, List<Runnable>> held = new HashMap<>();

    private double lostBeside;
    private double doubledBeside;
    private double swappedBeside;
    private long lateBeside;

    Post(VirtualNetwork net) {
        this.net = net;
    }

    void lose(double share) {
        lostBeside = share;
    }

    void doubled(double share) {
        doubledBeside = share;
    }

    void swap(double share) {
        swappedBeside = share;
    }

    void late(long nanos) {
        lateBeside = nanos;
    }

    /** Holds what goes from one machine to another, or lets all of it come at once. */
    void stall(Machine from, Machine to, boolean on) {
        if (on) {
            held.putIfAbsent(Paths.way(from, to), new ArrayList<>());
        } else {
            held.getOrDefault(Paths.way(from, to), List.of()).forEach(each -> net.at(net.now(), each));
            held.remove(Paths.way(from, to));
        }
    }

    void group(String address, List<String> members) {
        groups.put(address, List.copyOf(members));
    }

    /** Sends a datagram to a machine or to a group. */
    void send(Machine from, InetSocketAddress sender, InetSocketAddress to, byte[] bytes) {
        Machine target = net.find(from, to);
        String ip = target == null ? to.getAddress().getHostAddress() : target.ip;
        List<String> members = groups.isEmpty() ? null : groups.get(ip + ":" + to.getPort());
        if (members == null) {
            send(from, sender, target, ip, to.getPort(), bytes);
            return;
        }
        for (String member : members) {
            Machine each = net.find(Addresses.ip(member));
            if (each != from) {
                send(from, sender, each, Addresses.ip(member), Addresses.port(member), bytes);
            }
        }
    }

    private void send(Machine from, InetSocketAddress sender, Machine to, String ip, int port, byte[] bytes) {
        Conditions.Datagrams fate = net.conditions().datagrams();
        boolean lost = to == null
                || from.draws(fate.lost())
                || from.draws(lostBeside)
                || net.paths().isClosed(from, to)
                || net.paths().isMute(from, to);
        for (Observer o : net.observers()) {
            o.datagram(from.ip, ip + ":" + port, bytes, lost);
        }
        if (!lost) {
            carry(from, sender, to, port, bytes);
            if (from.draws(fate.doubled()) || from.draws(doubledBeside)) {
                carry(from, sender, to, port, bytes);
            }
        }
    }

    private void carry(Machine from, InetSocketAddress sender, Machine to, int port, byte[] bytes) {
        Conditions.Datagrams fate = net.conditions().datagrams();
        long arrival = net.now()
                + fate.leastDelay()
                + from.upTo(fate.mostDelay() - fate.leastDelay())
                + net.paths().extra(from, to)
                + lateBeside;
        long before = from.lastArrivals.getOrDefault(to.number, 0L);
        if (!from.draws(fate.swapped())) {
            arrival = Math.max(arrival, before);
        }
        from.lastArrivals.put(to.number, Math.max(arrival, before));
        arrival += from.draws(swappedBeside) ? from.upTo(MOST_OVERTAKEN) : 0;
        net.at(arrival, () -> arrive(from, sender, to, port, bytes));
    }

    private void arrive(Machine from, InetSocketAddress sender, Machine to, int port, byte[] bytes) {
        List<Runnable> waiting = held.isEmpty() ? null : held.get(Paths.way(from, to));
        if (waiting != null) {
            waiting.add(() -> arrive(from, sender, to, port, bytes));
            return;
        }
        VirtualDatagramChannel channel = to.datagrams.get(port);
        if (channel != null && !net.paths().isClosed(from, to)) {
            net.digest().add(net.now(), to.number, Digest.DATAGRAM, bytes.length);
            net.digest().add(bytes, 0, bytes.length);
            channel.arrived(sender, bytes);
        }
    }
}
