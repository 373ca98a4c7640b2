package slateseam.standin.sockets;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLEngine;
import slateseam.standin.Clockwork;
import slateseam.standin.Net;
import slateseam.standin.Party;
import slateseam.standin.Wire;

/**
 * Real sockets of loopback for stand-ins, on one thread of its own. An address of a stand-in is a name of its own, for
 * which a free port is taken and kept; {@link #address} tells which. All calls but {@link #call}, {@link #address} and
 * {@link #close} belong on that thread, where {@link #call} brings them.
 */
public final class SocketNet implements Net, Clockwork, AutoCloseable {
    private static final int ROOM = 65_536;

    private record Timer(long time, long order, Runnable action) {}

    private final Selector selector;
    private final Thread thread;
    private final int mostConnections;
    private final long startUnix = System.currentTimeMillis() * 1_000_000;
    private final long startTicks = System.nanoTime();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingLong(Timer::time).thenComparingLong(Timer::order));
    private final Queue<Runnable> asked = new ConcurrentLinkedQueue<>();
    private final Map<String, Place> places = new LinkedHashMap<>();
    /** Held while the selector is woken or closed, by whichever thread. */
    private final Object waking = new Object();

    private final Set<Connection> connections = new LinkedHashSet<>();
    private final Set<Connection> touched = new LinkedHashSet<>();
    private final ByteBuffer room = ByteBuffer.allocate(ROOM);
    private final AtomicReference<Throwable> failure = new AtomicReference<>();
    private long numbers;
    private long orders;
    private volatile boolean closing;

    /** Starts the thread; connections beyond so many are reset as they come, and cannot be made. */
    public SocketNet(int mostConnections) throws IOException {
        this.mostConnections = mostConnections;
        this.selector = Selector.open();
        this.thread = new Thread(this::run, "stand-ins");
        thread.setDaemon(true);
        thread.start();
    }

    /** Does something on the thread and waits until it is done; what it throws comes back as the cause. */
    public <T> T call(Callable<T> action) {
        FutureTask<T> task = new FutureTask<>(action);
        if (Thread.currentThread() == thread) {
            task.run();
        } else {
            asked.add(task);
            wake();
        }
        try {
            return task.get();
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    /** A closed selector is left alone: its descriptor may be another's by now. */
    private void wake() {
        synchronized (waking) {
            if (selector.isOpen()) {
                selector.wakeup();
                return;
            }
        }
        throw new IllegalStateException("the stand-ins' thread has ended", failure.get());
    }

    /** The same without a result. */
    public void run(Runnable action) {
        call(() -> {
            action.run();
            return null;
        });
    }

    /** Which port of loopback stands for an address of stand-ins. */
    public InetSocketAddress address(String name) {
        return call(() -> place(name).address());
    }

    /** Connections that come to an address from now on speak TLS, as this context says; null for as they are. */
    public void tls(String name, SSLContext context) {
        run(() -> place(name).tls(context));
    }

    private Place place(String name) {
        try {
            Place place = places.get(name);
            if (place == null) {
                place = new Place();
                places.put(name, place);
            }
            return place;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public long now() {
        return startUnix + System.nanoTime() - startTicks;
    }

    @Override
    public void at(long time, Runnable action) {
        timers.add(new Timer(time, orders++, action));
    }

    @Override
    public void listen(String address, Function<Wire, Party> listener) {
        try {
            place(address).listen(selector, listener);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void unlisten(String address) {
        try {
            place(address).unlisten(selector);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Connects to a place of this net by its name, or to a port of loopback in the form 127.0.0.1:PORT. */
    @Override
    public Wire connect(String from, String to, Party party) {
        InetSocketAddress address = places.containsKey(to) ? places.get(to).address() : literal(to);
        try {
            SocketChannel channel = SocketChannel.open();
            Connection connection = new Connection(this, numbers++, channel, new Plain(channel));
            connections.add(connection);
            channel.configureBlocking(false);
            connection.begin(party, channel.register(selector, SelectionKey.OP_CONNECT, connection));
            if (connections.size() > mostConnections) {
                connection.reset();
                at(now(), () -> party.broken(connection));
            } else {
                channel.connect(address);
            }
            return connection;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static InetSocketAddress literal(String text) {
        if (!text.matches("127\\.0\\.0\\.1:[0-9]{1,5}")) {
            throw new IllegalArgumentException(text + " is no place here and no port of loopback");
        }
        return new InetSocketAddress("127.0.0.1", Integer.parseInt(text.substring(text.indexOf(':') + 1)));
    }

    ByteBuffer room() {
        return room;
    }

    void touch(Connection connection) {
        touched.add(connection);
    }

    void gone(Connection connection) {
        connections.remove(connection);
    }

    private void run() {
        try {
            while (!closing) {
                turn();
            }
        } catch (IOException | RuntimeException | Error e) {
            failure.set(e);
        } finally {
            release();
        }
    }

    private void turn() throws IOException {
        long wait = timers.isEmpty() ? Long.MAX_VALUE : timers.peek().time - now();
        if (wait <= 0 || !asked.isEmpty()) {
            selector.selectNow();
        } else {
            selector.select(wait == Long.MAX_VALUE ? 0 : Math.max(1, wait / 1_000_000));
        }
        List<SelectionKey> ready = new ArrayList<>(selector.selectedKeys());
        selector.selectedKeys().clear();
        for (SelectionKey key : ready) {
            if (key.isValid() && key.attachment() instanceof Place place) {
                accept(place);
            } else if (key.isValid() && key.attachment() instanceof Connection connection) {
                connection.ready();
            }
        }
        for (Runnable action; (action = asked.poll()) != null; ) {
            action.run();
        }
        for (long now = now(); !timers.isEmpty() && timers.peek().time <= now; ) {
            timers.poll().action.run();
        }
        while (!touched.isEmpty()) {
            List<Connection> some = new ArrayList<>(touched);
            touched.clear();
            some.forEach(Connection::settle);
        }
    }

    private void accept(Place place) throws IOException {
        for (SocketChannel channel; (channel = place.accept()) != null; ) {
            try {
                take(place, channel);
            } catch (IOException e) {
                // Whoever connected has gone already.
                channel.close();
            }
        }
    }

    private void take(Place place, SocketChannel channel) throws IOException {
        if (connections.size() >= mostConnections) {
            channel.setOption(StandardSocketOptions.SO_LINGER, 0);
            channel.close();
            return;
        }
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        Channeled bytes = place.tls() == null ? new Plain(channel) : new Tls(channel, engine(place.tls()));
        SelectionKey key = channel.register(selector, SelectionKey.OP_READ);
        Connection connection = new Connection(this, numbers++, channel, bytes);
        key.attach(connection);
        connections.add(connection);
        connection.begin(place.listener().apply(connection), key);
        connection.ready();
    }

    private static SSLEngine engine(SSLContext context) {
        SSLEngine engine = context.createSSLEngine();
        engine.setUseClientMode(false);
        return engine;
    }

    private void release() {
        try {
            new ArrayList<>(connections).forEach(Connection::close);
            for (Place place : places.values()) {
                place.close();
            }
            synchronized (waking) {
                selector.close();
            }
        } catch (IOException e) {
            failure.compareAndSet(null, e);
        }
        // Whoever asked before still gets an answer.
        for (Runnable action; (action = asked.poll()) != null; ) {
            action.run();
        }
    }

    /** Ends the thread, closes all sockets, and tells if something was thrown on the thread. */
    @Override
    public void close() {
        closing = true;
        if (thread.isAlive()) {
            wake();
        }
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (failure.get() != null) {
            throw new IllegalStateException("the stand-ins' thread ended", failure.get());
        }
    }
}
