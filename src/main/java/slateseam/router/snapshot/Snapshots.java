package slateseam.router.snapshot;

import java.util.function.Consumer;

/**
 * A router's snapshots: read once before it serves, then written by a thread of their own, of which there is none
 * before something is to be written. What is to be written replaces what still waits, so that a slow disk holds up
 * nothing.
 */
public final class Snapshots {
    private static final long RETRY_NANOS = 10_000_000_000L;
    private static final long NANOS_A_MILLI = 1_000_000L;
    private static final int STACK_BYTES = 256 * 1024;

    private record Offer(Content content, long knownAt) {}

    private final SnapshotSettings settings;
    private final Store store;
    private final Consumer<String> lines;
    /** The last trouble that was told, so that each is told once. */
    private Finding told = Finding.GOOD;

    private Offer waiting;
    private long notBefore = Long.MIN_VALUE;
    private Thread thread;
    private boolean closing;

    /**
     * Creates the snapshots of a router and takes the lock on them.
     *
     * @param lines gets a line for each kind of trouble, once, and one when it is over; called on the writer's thread
     *     too
     */
    public Snapshots(SnapshotSettings settings, Consumer<String> lines) {
        this(settings, lines, new Disk());
    }

    Snapshots(SnapshotSettings settings, Consumer<String> lines, Disk disk) {
        this.settings = settings;
        this.lines = lines;
        store = new Store(settings, disk);
        tell(store.lock(), "");
    }

    /**
     * Reads what there is, however it is locked: a file is only ever replaced whole. Takes as long as a file of the
     * most bytes takes.
     *
     * @param now Unix nanoseconds
     */
    public Found read(long now) {
        return store.read(now);
    }

    /**
     * Leaves something to be written; never waits.
     *
     * @param knownAt when it was known, Unix nanoseconds
     */
    public synchronized void offer(Content content, long knownAt) {
        keep(content, knownAt);
        if (thread == null && !closing) {
            thread = new Thread(null, this::run, "snapshots", STACK_BYTES);
            thread.setDaemon(true); // no exit waits for it
            thread.start();
        }
        notifyAll();
    }

    /** The same without a thread. */
    synchronized void keep(Content content, long knownAt) {
        waiting = closing ? waiting : new Offer(content, knownAt);
    }

    /** Writes what still waits, for at most so long, and lets the lock go. */
    public void close(long mostMillis) throws InterruptedException {
        Thread writer;
        synchronized (this) {
            closing = true;
            writer = thread;
            notifyAll();
        }
        if (writer == null) {
            store.unlock();
        } else {
            writer.join(Math.max(1, mostMillis));
        }
    }

    private void run() {
        try {
            for (boolean more = true; more; ) {
                long wait = step(System.nanoTime());
                more = await(wait);
            }
            step(Long.MAX_VALUE);
        } catch (InterruptedException e) {
            // Nobody interrupts it but who ends it.
        } finally {
            store.unlock();
        }
    }

    /** Whether to go on. */
    private synchronized boolean await(long nanos) throws InterruptedException {
        if (!closing && (waiting == null || nanos > 0)) {
            wait(waiting == null ? 0 : nanos / NANOS_A_MILLI + 1);
        }
        return !closing;
    }

    /**
     * Writes what waits if it is due at a time of a steady clock; for how long there is nothing to do if something
     * waits.
     */
    long step(long now) {
        Offer offer;
        synchronized (this) {
            if (waiting == null || now < notBefore) {
                return waiting == null ? 0 : notBefore - now;
            }
            offer = waiting;
            waiting = null;
        }
        Found found = store.write(offer.content, offer.knownAt);
        tell(found.finding(), found.text());
        synchronized (this) {
            boolean good = found.finding() == Finding.GOOD;
            notBefore = now + (good ? settings.everyNanos() : Math.max(settings.everyNanos(), RETRY_NANOS));
            waiting = good || waiting != null ? waiting : offer;
            return waiting == null ? 0 : notBefore - now;
        }
    }

    private void tell(Finding finding, String text) {
        if (finding == told) {
            return;
        }
        told = finding;
        lines.accept(
                finding == Finding.GOOD
                        ? store.line(finding, "written again")
                        : "runs without: " + (text.isEmpty() ? store.line(finding, "") : text));
    }
}
