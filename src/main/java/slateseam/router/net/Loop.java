package slateseam.router.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.spi.SelectorProvider;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;

/** The one thread's loop: waits for sockets and deadlines and hands each to whom it concerns. */
public final class Loop {
    private static final long LONGEST_WAIT = 1_000 * Clock.MILLI;
    private static final int SCRATCH_BYTES = 64 * 1024;
    /** What was ready has waited for so long: what lies behind it, an end among that, may have come too. */
    private static final long LATE_NANOS = 20 * Clock.MILLI;

    /** Takes what a socket is ready for. */
    @FunctionalInterface
    public interface Handler {
        /** The socket of this key can go on. */
        void ready(SelectionKey key) throws IOException;
    }

    private final SelectorProvider provider;
    private final Selector selector;
    private final Clock clock;
    private final Log log;
    private final long heapBytes;
    private final MessageMemory memory;
    private final Deadlines deadlines = new Deadlines();
    private final ByteBuffer scratch = ByteBuffer.allocateDirect(SCRATCH_BYTES);
    private final Queue<Runnable> handedOver = new ConcurrentLinkedQueue<>();
    private final Queue<Runnable> next = new ArrayDeque<>();
    /** Kept: making one for each round costs more than the round does. */
    private final Consumer<SelectionKey> dispatch = this::dispatch;

    private long now;
    private boolean stopped;
    /** When the present round had waited for long enough; 0 while it waits. */
    private long woken;

    private long longestStall;
    private boolean late;

    /** Creates a loop on the system's network, without sockets. */
    public Loop(Clock clock, Log log) throws IOException {
        this(SelectorProvider.provider(), clock, log, Runtime.getRuntime().maxMemory());
    }

    /**
     * Creates a loop on a network, whose channels all who live on the loop open by its {@link #provider}. The bounds of what
     * is held are parts of {@code heapBytes}: told, as they must be the same wherever a run is played again.
     */
    public Loop(SelectorProvider provider, Clock clock, Log log, long heapBytes) throws IOException {
        this.provider = provider;
        this.selector = provider.openSelector();
        this.clock = clock;
        this.log = log;
        this.heapBytes = heapBytes;
        this.memory = new MessageMemory(heapBytes);
        this.now = clock.nanos();
    }

    /** The time at which the current happening was taken up. */
    public long now() {
        return now;
    }

    /** Opens the channels that can be registered here. */
    public SelectorProvider provider() {
        return provider;
    }

    /** The operators' log. */
    public Log log() {
        return log;
    }

    /** The heap of which bounds are parts, in bytes. */
    public long heapBytes() {
        return heapBytes;
    }

    /** What messages take of the heap. */
    public MessageMemory memory() {
        return memory;
    }

    /** An empty buffer outside the heap, for what is used up before the next call; the same one at each call. */
    ByteBuffer scratch() {
        return scratch.clear();
    }

    /** Registers a channel, non-blocking, for the operations. */
    public SelectionKey register(SelectableChannel channel, int operations, Handler handler) throws IOException {
        channel.configureBlocking(false);
        return channel.register(selector, operations, handler);
    }

    /** Runs an action so long from now. */
    public Deadlines.Deadline after(long nanos, Runnable action) {
        return deadlines.set(now + Math.max(0, nanos), action);
    }

    /** Cancels a deadline; null and one that has passed are ignored. */
    public void cancel(Deadlines.Deadline deadline) {
        deadlines.cancel(deadline);
    }

    /**
     * The time of the next deadline, for who runs the loop round by round; {@link Long#MAX_VALUE} if there is none. It has
     * passed while work is left for the next round.
     */
    public long nextDeadline() {
        return next.isEmpty() ? deadlines.next() : now;
    }

    /** Runs an action on the loop's thread; the only call that other threads may make. */
    public void handOver(Runnable action) {
        handedOver.add(action);
        selector.wakeup();
    }

    /**
     * Runs an action in the next round, which looks at the sockets first and does not wait: for work that is cut into
     * steps so that requests pass in between.
     */
    public void nextRound(Runnable action) {
        next.add(action);
    }

    /** Ends {@link #run} after the current round. */
    public void stop() {
        stopped = true;
    }

    /** Whether {@link #stop} was called. */
    public boolean isStopped() {
        return stopped;
    }

    /**
     * For how long at the most something that was ready or due has waited for the loop since the last call: behind what the
     * loop had in hand, or because the whole process stood still.
     */
    public long takeStall() {
        long longest = longestStall;
        longestStall = 0;
        return longest;
    }

    /** Whether what is handled now may have been ready for a while, as the loop was busy or the process stood still. */
    boolean isLate() {
        return late;
    }

    /** Runs until stopped, then closes every socket. */
    public void run() throws IOException {
        while (!stopped) {
            round(LONGEST_WAIT);
        }
        for (SelectionKey key : selector.keys()) {
            key.channel().close();
        }
        selector.close();
    }

    /** One round: waits at most so long for a socket or a deadline, then handles all that is ready or due. */
    public void round(long mostNanos) throws IOException {
        int steps = next.size();
        long begins = clock.nanos();
        late = woken != 0 && begins - woken > LATE_NANOS;
        long wait = steps > 0 ? 0 : Math.min(mostNanos, deadlines.next() - begins);
        longestStall = Math.max(longestStall, woken == 0 ? 0 : begins - woken);
        woken = 0;
        if (wait <= 0) {
            selector.selectNow(dispatch);
        } else {
            selector.select(dispatch, Clock.millisUp(wait));
        }
        now = clock.nanos();
        if (woken == 0) {
            woken = now;
        }
        longestStall = Math.max(longestStall, woken - begins - Math.max(0, wait));
        for (Runnable action; (action = handedOver.poll()) != null; ) {
            guarded(action);
        }
        for (int i = 0; i < steps; i++) {
            guarded(next.remove());
        }
        for (Runnable action; (action = deadlines.due(now)) != null; ) {
            guarded(action);
        }
    }

    private void dispatch(SelectionKey key) {
        now = clock.nanos();
        if (woken == 0) {
            woken = now;
        }
        late |= now - woken > LATE_NANOS;
        try {
            if (key.isValid()) {
                ((Handler) key.attachment()).ready(key);
            }
        } catch (ClosedChannelException e) {
            key.cancel();
        } catch (IOException e) {
            log.line("socket-error", e.toString());
        } catch (RuntimeException e) {
            internalError(e);
        }
    }

    private void guarded(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            internalError(e);
        }
    }

    /** Guards the loop, and so every other request, against a fault in the handling of one happening. */
    private void internalError(RuntimeException e) {
        StackTraceElement[] trace = e.getStackTrace();
        log.line("internal-error", e + (trace.length > 0 ? " at " + trace[0] : ""));
    }
}
