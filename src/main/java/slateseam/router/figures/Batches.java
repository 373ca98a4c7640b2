package slateseam.router.figures;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** Packs lines into batches of whole lines for one destination; a batch that cannot be written is dropped and counted. */
abstract class Batches {
    /** For what the console takes. */
    static final int MOST_CONSOLE_BYTES = 16 * 1024;

    private final int mostBytes;
    private final ByteArrayOutputStream batch = new ByteArrayOutputStream();
    /** Those that no batch has told of yet; a destination may find out on the writer's thread. */
    private final AtomicLong dropped = new AtomicLong();
    /** Of those, what the current batch tells of. */
    private long told;

    Batches(int mostBytes) {
        this.mostBytes = mostBytes;
    }

    /** How many batches were dropped, to be told of in what is added next. */
    final long takeDropped() {
        told += dropped.getAndSet(0);
        return told;
    }

    /** Adds a line to the batch; whatever is full goes out first. */
    final void add(String line) {
        add((line + "\n").getBytes(StandardCharsets.UTF_8));
    }

    /** Adds a line with its end. */
    void add(byte[] bytes) {
        if (batch.size() + bytes.length > mostBytes) {
            send();
        }
        if (bytes.length > mostBytes) {
            dropped.incrementAndGet();
        } else {
            batch.writeBytes(bytes);
        }
    }

    /** Sends what has been added. */
    final void send() {
        if (batch.size() == 0) {
            return;
        }
        long lost = 1 + told;
        told = 0;
        Runnable failed = () -> dropped.addAndGet(lost);
        if (!write(batch.toByteArray(), failed)) {
            failed.run();
        }
        batch.reset();
    }

    /** How many bytes have been added and not sent. */
    final int added() {
        return batch.size();
    }

    /** Whether no figure will ever be written here again. */
    boolean isOver() {
        return false;
    }

    /** Writes a batch without waiting; false if it was dropped, and {@code failed} is run if it turns out so later. */
    abstract boolean write(byte[] lines, Runnable failed);

    /** Releases what is held. */
    void close() {}
}
