package slateseam.simulate.network;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Consumer;

/** Where a machine takes connections: a bounded back-log, or takers that never let one wait. */
final class Listener {
    private final Machine machine;
    private final int port;
    private final int backlog;
    /** Takes each connection at once, so that no back-log fills; null if they wait in the back-log. */
    private final Consumer<End> taker;
    /** Told that one waits. */
    private final Runnable waiting;

    private final Queue<End> queue = new ArrayDeque<>();
    /** Handshakes that have a place in the back-log already. */
    private int pending;

    private boolean closed;

    Listener(Machine machine, int port, int backlog, Consumer<End> taker, Runnable waiting) {
        this.machine = machine;
        this.port = port;
        this.backlog = backlog;
        this.taker = taker;
        this.waiting = waiting;
        machine.listeners.put(port, this);
    }

    Machine machine() {
        return machine;
    }

    boolean isFull() {
        return pending + queue.size() >= backlog;
    }

    /** Keeps a place for a handshake. */
    void expect() {
        pending++;
    }

    /** A handshake came to nothing. */
    void withdraw() {
        pending--;
    }

    /** A connection is up. */
    void admit(End end) {
        pending--;
        if (closed) {
            end.reset();
        } else if (taker != null) {
            taker.accept(end);
        } else {
            queue.add(end);
            waiting.run();
        }
    }

    boolean hasWaiting() {
        return !queue.isEmpty();
    }

    /** The connection that has waited for longest; null if none waits. */
    End poll() {
        return queue.poll();
    }

    /** Refuses connections from now on; those that nobody has taken are reset. */
    void close() {
        if (!closed) {
            closed = true;
            machine.listeners.remove(port);
            queue.forEach(End::reset);
            queue.clear();
        }
    }
}
