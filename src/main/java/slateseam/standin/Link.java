package slateseam.standin;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A connection that a stand-in took. Requests are begun as they come whole, up to a number at once, and answered in
 * their order. A router that ends its sending has given up what it asked for, as one that closes.
 */
public abstract class Link implements Party {
    /** Answers that the other side does not take, in bytes; beyond it the connection is reset. */
    private static final long MOST_UNSENT = 8L << 20;

    /** Bytes of requests that may not begin yet; beyond it no more are taken until some were answered. */
    private static final int MOST_UNREAD = 65_536;

    private enum State {
        COMING,
        OPEN,
        ENDED,
        GONE
    }

    final Station station;
    final Wire wire;
    /** What came and is not read yet. */
    protected final Inbox inbox = new Inbox();

    private final int atOnce;
    private final Deque<Exchange> open = new ArrayDeque<>();
    private State state = State.COMING;
    private boolean paused;
    private boolean pumping;
    private long quietSince;
    private boolean idleArmed;

    /** A connection on which so many requests are begun at once. */
    protected Link(Station station, Wire wire, int atOnce) {
        this.station = station;
        this.wire = wire;
        this.atOnce = atOnce;
    }

    /** Reads the next request from the inbox; null while it is not whole. */
    protected abstract Exchange next() throws UnreadableException;

    /** Begins a request that {@link #next} gave; it may be answered at once. */
    protected abstract void begin(Exchange exchange);

    /** What a request gets that nobody sends in such a form; the connection ends behind it. */
    protected abstract byte[] unreadable();

    /** Hands bytes of answers on to the connection, in their order; a link that troubles them does otherwise. */
    protected void send(byte[] bytes) {
        wire.write(bytes);
    }

    /** The connection is up and has its place. */
    void admitted() {}

    @Override
    public final void opened(Wire same) {
        settle();
    }

    /** Gives the connection its place, or none. It happens once, whatever comes first. */
    final void settle() {
        if (state == State.COMING) {
            state = State.OPEN;
            quietSince = station.clock.now();
            if (station.admit(this)) {
                armIdle();
                admitted();
            } else {
                state = State.GONE;
                wire.reset();
            }
        }
    }

    @Override
    public final void received(Wire same, byte[] bytes) {
        settle();
        if (state == State.OPEN) {
            inbox.add(bytes);
            pump();
        } else if (state == State.ENDED) {
            // A request that was written to a connection already closed here ends as a reset.
            cut();
        }
    }

    private void pump() {
        if (pumping) {
            return;
        }
        pumping = true;
        try {
            while (state == State.OPEN && open.size() < atOnce) {
                Exchange exchange = next();
                if (exchange == null) {
                    break;
                }
                open.add(exchange);
                begin(exchange);
            }
        } catch (UnreadableException e) {
            station.tallies.add(Tally.UNREADABLE);
            Simple last = new Simple(this, true, unreadable());
            open.add(last);
            last.give();
        } finally {
            pumping = false;
        }
        boolean full = open.size() >= atOnce && inbox.size() > MOST_UNREAD;
        if (state == State.OPEN && full != paused) {
            paused = full;
            wire.pause(full);
        }
    }

    /** Writes the answers, and parts of them, that are at their turn. */
    final void flush() {
        boolean wrote = false;
        for (Exchange first; state == State.OPEN && (first = open.peek()) != null && first.hasMore(); ) {
            for (byte[] part; state == State.OPEN && (part = first.nextPart()) != null; ) {
                send(part);
                wrote = true;
            }
            if (!first.isAnswered() || state != State.OPEN) {
                break;
            }
            open.poll();
            if (first.isLast()) {
                end();
            }
        }
        if (wrote && state == State.OPEN) {
            quietSince = station.clock.now();
            if (wire.unsent() > MOST_UNSENT) {
                cut();
                return;
            }
            armIdle();
            pump();
        }
    }

    /** Writes bytes that belong to no request. */
    final void writeBehind(byte[] bytes) {
        if (state == State.OPEN) {
            wire.write(bytes);
        }
    }

    private void armIdle() {
        if (!idleArmed && open.isEmpty() && station.idleNanos < Long.MAX_VALUE) {
            idleArmed = true;
            station.clock.at(quietSince + station.idleNanos, this::idle);
        }
    }

    private void idle() {
        idleArmed = false;
        if (state == State.OPEN && open.isEmpty()) {
            if (station.clock.now() >= quietSince + station.idleNanos) {
                station.tallies.add(Tally.IDLE);
                end();
            } else {
                armIdle();
            }
        }
    }

    /** Ends it from this side, with what is written; what comes from now on meets a reset. */
    protected final void end() {
        if (state == State.OPEN) {
            state = State.ENDED;
            wire.end();
            leave();
        }
    }

    /** Breaks it off. */
    protected final void cut() {
        if (state == State.OPEN || state == State.ENDED) {
            boolean held = state == State.OPEN;
            state = State.GONE;
            wire.reset();
            if (held) {
                leave();
            }
        }
    }

    private void leave() {
        station.left(this);
        for (Exchange exchange; (exchange = open.poll()) != null; ) {
            exchange.withdrawn();
        }
    }

    @Override
    public final void ended(Wire same) {
        settle();
        if (state == State.OPEN) {
            end();
        }
        state = State.GONE;
    }

    @Override
    public final void broken(Wire same) {
        boolean held = state == State.OPEN;
        state = State.GONE;
        if (held) {
            leave();
        }
    }

    /** Whether it is up and neither side has ended it. */
    protected final boolean isOpen() {
        return state == State.OPEN;
    }
}
