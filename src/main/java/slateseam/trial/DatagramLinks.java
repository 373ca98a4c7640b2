package slateseam.trial;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The ways of datagrams between routers: one socket for each ordered pair, so that each router knows each other by an address of
 * its own and a way can be troubled in one direction. What one sends to the socket (from, to) leaves by the socket (to, from), so
 * that it comes from the address that its receiver knows. One thread; what is held is bounded.
 */
public final class DatagramLinks implements AutoCloseable {
    private static final int LONGEST = 2_048;
    /** Of one way; beyond it the oldest goes, as in a full buffer. */
    private static final int MOST_HELD = 4_096;
    /** How long after its time a datagram may come that others overtake. */
    private static final long MOST_OVERTAKEN = 250_000_000L;

    /** What becomes of datagrams that no fault troubles. */
    public record Conditions(long leastNanos, long mostNanos, double lost, double doubled) {}

    /** Is told of each datagram as it is sent; by the links' thread. */
    @FunctionalInterface
    public interface Observer {
        /** A datagram was sent, and is lost or will arrive. */
        void sent(String from, String to, byte[] bytes, boolean lost);
    }

    private record Delivery(long at, long order, Way way, byte[] bytes) {}

    private static final class Way {
        final String from;
        final String to;
        final DatagramChannel channel;
        final InetSocketAddress address;
        /** Where its receiver listens. */
        InetSocketAddress receiver;
        /** By which the other direction comes in. */
        Way back;
        /** How many faults of each kind trouble it now. */
        int muted;

        int stalled;
        final ArrayDeque<byte[]> held = new ArrayDeque<>();
        long lastArrival;

        Way(String from, String to) throws IOException {
            this.from = from;
            this.to = to;
            this.channel = DatagramChannel.open().bind(new InetSocketAddress("127.0.0.1", 0));
            this.channel.configureBlocking(false);
            this.address = (InetSocketAddress) channel.getLocalAddress();
        }
    }

    private final Map<String, Way> ways = new LinkedHashMap<>();
    private final Conditions usual;
    private final UniformRandomProvider random;
    private final Observer observer;
    private final Selector selector;
    private final Thread thread;
    private final PriorityQueue<Delivery> due =
            new PriorityQueue<>(Comparator.comparingLong(Delivery::at).thenComparingLong(Delivery::order));
    private final Queue<Runnable> asked = new ConcurrentLinkedQueue<>();
    private final ByteBuffer room = ByteBuffer.allocate(LONGEST);
    private double lostBeside;
    private double doubledBeside;
    private double swappedBeside;
    private long lateBeside;
    private long orders;
    private volatile boolean closing;

    /** Opens the ways between routers, named with the address where each listens for datagrams. */
    public DatagramLinks(
            Map<String, InetSocketAddress> routers, Conditions usual, UniformRandomProvider random, Observer observer)
            throws IOException {
        this.usual = usual;
        this.random = random;
        this.observer = observer;
        this.selector = Selector.open();
        for (String from : routers.keySet()) {
            for (String to : routers.keySet()) {
                if (!from.equals(to)) {
                    Way way = new Way(from, to);
                    way.receiver = routers.get(to);
                    way.channel.register(selector, SelectionKey.OP_READ, way);
                    ways.put(from + "~" + to, way);
                }
            }
        }
        ways.values().forEach(way -> way.back = ways.get(way.to + "~" + way.from));
        thread = new Thread(this::run, "links");
        thread.setDaemon(true);
        thread.start();
    }

    /** The address by which one router reaches another. */
    public InetSocketAddress address(String from, String to) {
        return ways.get(from + "~" + to).address;
    }

    /** Lets nothing pass in one direction, or undoes one such fault. */
    public void mute(String pair, boolean on) {
        ask(() -> ways.get(pair).muted += on ? 1 : -1);
    }

    /** Holds what passes in one direction; when the last such fault is over all comes at once, in order. */
    void stall(String pair, boolean on) {
        ask(() -> {
            Way way = ways.get(pair);
            way.stalled += on ? 1 : -1;
            while (way.stalled == 0 && !way.held.isEmpty()) {
                deliver(way, way.held.poll());
            }
        });
    }

    /** Loses this part of all datagrams, beside what is lost anyway. */
    public void lose(double share) {
        ask(() -> lostBeside = share);
    }

    /** Lets this part of all datagrams come twice, beside what does anyway. */
    void doubled(double share) {
        ask(() -> doubledBeside = share);
    }

    /** Lets this part of all datagrams be overtaken by those behind them. */
    void swap(double share) {
        ask(() -> swappedBeside = share);
    }

    /** Lets all that are sent from now on come later by so much. */
    void late(long nanos) {
        ask(() -> lateBeside = nanos);
    }

    private void ask(Runnable action) {
        asked.add(action);
        selector.wakeup();
    }

    private void run() {
        try {
            while (!closing) {
                long wait = due.isEmpty() ? 0 : (due.peek().at - System.nanoTime()) / 1_000_000;
                if (!due.isEmpty() && wait <= 0) {
                    selector.selectNow();
                } else {
                    selector.select(wait);
                }
                // Before what has come is read: a fault holds from the moment at which it was asked for.
                for (Runnable action; (action = asked.poll()) != null; ) {
                    action.run();
                }
                selector.selectedKeys().forEach(this::read);
                selector.selectedKeys().clear();
                for (long now = System.nanoTime(); !due.isEmpty() && due.peek().at <= now; ) {
                    Delivery next = due.poll();
                    arrive(next.way, next.bytes);
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void read(SelectionKey key) {
        Way way = (Way) key.attachment();
        try {
            room.clear();
            while (way.channel.receive(room) != null) {
                byte[] bytes = new byte[room.flip().remaining()];
                room.get(bytes);
                take(way, bytes);
                room.clear();
            }
        } catch (IOException e) {
            // The system tells so that a receiver was not there when something left by this socket.
        }
    }

    private void take(Way way, byte[] bytes) {
        boolean lost = way.muted > 0 || random.nextDouble() < usual.lost || random.nextDouble() < lostBeside;
        observer.sent(way.from, way.to, bytes, lost);
        for (int copies = lost ? 0 : random.nextDouble() < usual.doubled || random.nextDouble() < doubledBeside ? 2 : 1;
                copies > 0;
                copies--) {
            long delay =
                    lateBeside + usual.leastNanos + (long) (random.nextDouble() * (usual.mostNanos - usual.leastNanos));
            way.lastArrival = Math.max(System.nanoTime() + delay, way.lastArrival);
            long overtaken = random.nextDouble() < swappedBeside ? (long) (random.nextDouble() * MOST_OVERTAKEN) : 0;
            due.add(new Delivery(way.lastArrival + overtaken, orders++, way, bytes));
        }
    }

    private void arrive(Way way, byte[] bytes) {
        if (way.stalled > 0) {
            way.held.add(bytes);
            if (way.held.size() > MOST_HELD) {
                way.held.poll();
            }
        } else {
            deliver(way, bytes);
        }
    }

    private void deliver(Way way, byte[] bytes) {
        try {
            way.back.channel.send(ByteBuffer.wrap(bytes), way.receiver);
        } catch (IOException e) {
            // Nobody is there: a datagram more that is lost.
        }
    }

    /** Ends the thread and closes all sockets. */
    @Override
    public void close() {
        closing = true;
        selector.wakeup();
        try {
            thread.join();
            for (Way way : new ArrayList<>(ways.values())) {
                way.channel.close();
            }
            selector.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** All ways, as faults name them. */
    List<String> ways() {
        return List.copyOf(ways.keySet());
    }
}
