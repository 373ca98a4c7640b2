package slateseam.simulate.tier;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;
import slateseam.tier.members.Change;
import slateseam.tier.members.Members;
import slateseam.tier.members.MembersPort;
import slateseam.tier.members.MembersSettings;

/** Many routers' views of one another, on one thread and a virtual clock; all chance comes from one seed. */
public final class MembersWorld {
    /** When it begins, in Unix time. */
    public static final long BEGIN = 1_800_000_000_000_000_000L;

    private static final long MILLI = 1_000_000L;
    private static final long TICK = 50 * MILLI;
    private static final int PORT = 7_000;
    private static final int MOST_INBOX = 2_000;

    /** What becomes of datagrams. */
    public record Ways(double lost, double doubled, double swapped, long leastNanos, long mostNanos) {
        /** Of a machine room. */
        public static final Ways USUAL = new Ways(0, 0, 0, MILLI, 8 * MILLI);

        /** The same with loss. */
        public Ways losing(double share) {
            return new Ways(share, doubled, swapped, leastNanos, mostNanos);
        }
    }

    /** A change of somebody's view. */
    public record Seen(long at, int by, Change change) {}

    /** A process, through its lives. */
    private final class Node {
        final int index;
        InetSocketAddress place;
        Members members;
        long ahead;
        boolean paused;
        int life;
        final Deque<Runnable> inbox = new ArrayDeque<>();
        long nanos;
        long datagrams;

        Node(int index) {
            this.index = index;
            this.place = place(index, PORT);
        }
    }

    private final TierNet net;
    private final List<Node> nodes = new ArrayList<>();
    private final Map<InetSocketAddress, Node> places = new HashMap<>();
    private final SplittableRandom random;
    private final UnaryOperator<MembersSettings> settings;
    private final List<Seen> seen = new ArrayList<>();
    private final List<InetSocketAddress> listed = new ArrayList<>();

    /**
     * A world without anybody yet.
     *
     * @param listed how many routers all others know by a list
     * @param settings changes the usual settings
     */
    public MembersWorld(int listed, long seed, Ways ways, UnaryOperator<MembersSettings> settings) {
        this.random = new SplittableRandom(seed);
        this.net = new TierNet(random, ways);
        this.settings = settings;
        for (int i = 0; i < listed; i++) {
            this.listed.add(place(i, PORT));
        }
    }

    private static InetSocketAddress place(int index, int port) {
        try {
            return new InetSocketAddress(
                    InetAddress.getByAddress(new byte[] {10, (byte) (index >> 16), (byte) (index >> 8), (byte) index}),
                    port);
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The name of a router. */
    public static String name(int index) {
        return "router-" + (index + 1);
    }

    /** The time. */
    public long now() {
        return net.now();
    }

    /** All that views came to, in order. */
    public List<Seen> seen() {
        return seen;
    }

    /** Datagrams fare so from now on. */
    public void ways(Ways changed) {
        net.ways(changed);
    }

    /** Does something at a time from now. */
    public void after(long nanos, Runnable action) {
        net.after(nanos, action);
    }

    private Node node(int index) {
        while (nodes.size() <= index) {
            nodes.add(new Node(nodes.size()));
        }
        return nodes.get(index);
    }

    /** Starts a router that is down, in a new life. */
    public void start(int index) {
        start(index, name(index), PORT);
    }

    /** The same by another name or at another port. */
    public void start(int index, String name, int port) {
        Node node = node(index);
        node.place = place(index, port);
        places.put(node.place, node);
        int life = ++node.life;
        node.paused = false;
        node.inbox.clear();
        node.members = new Members(
                settings.apply(MembersSettings.usual("tier", name, index, listed)),
                net.now() + node.ahead,
                random.split(),
                new MembersPort() {
                    @Override
                    public void send(InetSocketAddress to, byte[] datagram) {
                        if (node.life == life) {
                            post(node, to, datagram);
                        }
                    }

                    @Override
                    public void changed(Change change) {
                        seen.add(new Seen(net.now(), index, change));
                    }
                });
        tick(node, life, random.nextLong(TICK));
    }

    private void tick(Node node, int life, long in) {
        after(in, () -> {
            if (node.life != life || node.members == null) {
                return;
            }
            if (node.paused) {
                tick(node, life, TICK);
                return;
            }
            long begins = System.nanoTime();
            node.members.tick(net.now() + node.ahead);
            node.nanos += System.nanoTime() - begins;
            tick(node, life, TICK);
        });
    }

    private void post(Node from, InetSocketAddress to, byte[] datagram) {
        Node target = places.get(to);
        InetSocketAddress sender = from.place;
        if (target != null) {
            net.post(from.index, target.index, () -> arrive(target, sender, to, datagram));
        }
    }

    private void arrive(Node target, InetSocketAddress sender, InetSocketAddress to, byte[] datagram) {
        if (target.members != null && target.place.equals(to)) {
            if (!target.paused) {
                hear(target, sender, datagram);
            } else if (target.inbox.size() < MOST_INBOX) {
                target.inbox.add(() -> hear(target, sender, datagram));
            }
        }
    }

    private void hear(Node target, InetSocketAddress sender, byte[] datagram) {
        long begins = System.nanoTime();
        target.members.heard(net.now() + target.ahead, sender, datagram);
        target.nanos += System.nanoTime() - begins;
        target.datagrams++;
    }

    /** Its process ends at once. */
    public void kill(int index) {
        Node node = node(index);
        node.members = null;
        node.life++;
        places.remove(node.place);
    }

    /** It says that it ends, and ends. */
    public void leave(int index) {
        node(index).members.leave(net.now() + node(index).ahead);
        kill(index);
    }

    /** It stands still, or goes on: first with its clock, then with what has come meanwhile. */
    public void pause(int index, boolean on) {
        Node node = node(index);
        if (!on && node.paused && node.members != null) {
            node.paused = false;
            node.members.tick(net.now() + node.ahead);
            while (!node.inbox.isEmpty() && node.members != null) {
                node.inbox.poll().run();
            }
        }
        node.paused = on;
    }

    /** Nothing gets from one to another, or does again. */
    public void cut(int from, int to, boolean on) {
        net.cut(from, to, on);
    }

    /** What one sends to another is held, or comes at once. */
    public void stall(int from, int to, boolean on) {
        net.stall(from, to, on);
    }

    /** Nothing gets from it to anybody, or does again. */
    public void mute(int index, boolean on) {
        net.mute(index, nodes.size(), on);
    }

    /** Nothing gets to it, or does again. */
    public void deaf(int index, boolean on) {
        net.deaf(index, nodes.size(), on);
    }

    /** Nothing passes between the first so many and the others, or does again. */
    public void halve(int first, boolean on) {
        net.halve(first, nodes.size(), on);
    }

    /** Its clock is ahead by so much from now on; if negative, behind. */
    public void clock(int index, long ahead) {
        node(index).ahead = ahead;
    }

    /** Something comes to it from a place, whoever sent it. */
    public void inject(int index, InetSocketAddress from, byte[] datagram) {
        hear(node(index), from, datagram);
    }

    /** Where it listens. */
    public InetSocketAddress place(int index) {
        return node(index).place;
    }

    /** Its view; null while it is down. */
    public Members members(int index) {
        return index < nodes.size() ? nodes.get(index).members : null;
    }

    /** The how-manieth process of it is there, or was last. */
    public int process(int index) {
        return node(index).life;
    }

    /** How many there are, up or down. */
    public int size() {
        return nodes.size();
    }

    /** Whether its process stands still. */
    public boolean isPaused(int index) {
        return node(index).paused;
    }

    /** Processor time in the modules, a datagram that was taken. */
    public double nanosADatagram() {
        return nodes.stream().mapToLong(node -> node.nanos).sum()
                / (double)
                        Math.max(1, nodes.stream().mapToLong(n -> n.datagrams).sum());
    }

    /** Lets time pass. */
    public void run(long nanos) {
        net.run(nanos, () -> {});
    }

    /** The same with a look after each step. */
    public void run(long nanos, Runnable look) {
        net.run(nanos, look);
    }
}
