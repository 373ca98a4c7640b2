package slateseam.router.net;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Standard error, and the files that features write: one bounded queue, emptied by the one further thread of the program.
 * Guards the loop against a reader of standard error that has stopped and against a slow disk: whoever has lines leaves
 * them here and goes on; what does not fit is dropped whole and counted.
 */
public final class Console implements Lines {
    private static final int MOST_BYTES = 64 * 1024;
    /** The rest is kept for single lines, so that bulk cannot crowd the log out. */
    private static final int MOST_BULK_BYTES = 48 * 1024;
    /** What an entry takes beside its text. */
    private static final int ENTRY_BYTES = 64;

    private static final int STACK_BYTES = 256 * 1024;
    /** For what is left at the end; an exit does not wait longer for a reader that has stopped. */
    private static final long END_MILLIS = 250;

    /** Text for standard error, where the file is null, or for the end of a file. */
    private record Entry(Path file, byte[] text, Runnable failed) {
        int bytes() {
            return text.length + ENTRY_BYTES;
        }
    }

    private final String name;
    private final OutputStream err;
    private final Queue<Entry> queue = new ArrayDeque<>();
    private int queuedBytes;
    private long droppedLines;
    private boolean closed;

    /** Creates the queue of a router and starts its writer, which alone writes to {@code err} from now on. */
    public Console(String name, OutputStream err) {
        this.name = name;
        this.err = err;
        Thread writer = new Thread(null, this::writeAll, "writer", STACK_BYTES);
        writer.setDaemon(true); // no exit waits for it
        writer.start();
    }

    @Override
    public synchronized void line(String text) {
        if (!offerLine(text)) {
            droppedLines++;
        }
    }

    private boolean offerLine(String text) {
        return offer(new Entry(null, (text + "\n").getBytes(StandardCharsets.UTF_8), null), MOST_BYTES);
    }

    /** Takes whole lines in bulk for standard error; false if they do not fit, which the caller counts. */
    public boolean bulk(byte[] lines) {
        return offer(new Entry(null, lines, null), MOST_BULK_BYTES);
    }

    /**
     * Takes whole lines for the end of a file, which is opened for them and closed again, so that it may be moved away
     * meanwhile. False if they do not fit; {@code failed} runs on the writer's thread if they cannot be written later.
     */
    public boolean append(Path file, byte[] lines, Runnable failed) {
        return offer(new Entry(file, lines, failed), MOST_BULK_BYTES);
    }

    /** Ends the writer after what it can write within a moment. */
    public synchronized void close() {
        long end = System.nanoTime() + END_MILLIS * Clock.MILLI;
        closed = true;
        notifyAll();
        try {
            for (long left; queuedBytes > 0 && (left = end - System.nanoTime()) > 0; ) {
                wait(Clock.millisUp(left));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized boolean offer(Entry entry, int most) {
        if (closed || queuedBytes + entry.bytes() > most) {
            return false;
        }
        queuedBytes += entry.bytes();
        queue.add(entry);
        notifyAll();
        return true;
    }

    /** Waits for the next entry; null at the end. Its bytes stay counted until it is written. */
    private synchronized Entry next() throws InterruptedException {
        while (queue.isEmpty() && !closed) {
            wait();
        }
        return queue.poll();
    }

    private synchronized void written(Entry entry) {
        queuedBytes -= entry.bytes();
        if (droppedLines > 0
                && offerLine(name + ": lines-dropped: " + droppedLines
                        + " lines did not fit while standard error was not read")) {
            droppedLines = 0;
        }
        notifyAll();
    }

    private void writeAll() {
        try {
            for (Entry entry; (entry = next()) != null; ) {
                try {
                    write(entry);
                } catch (IOException e) {
                    if (entry.failed != null) {
                        entry.failed.run();
                    }
                }
                written(entry);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void write(Entry entry) throws IOException {
        if (entry.file == null) {
            err.write(entry.text);
            err.flush();
            return;
        }
        try (FileChannel file = FileChannel.open(
                entry.file, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.APPEND)) {
            long end = file.size();
            ByteBuffer left = ByteBuffer.wrap(entry.text);
            try {
                while (left.hasRemaining()) {
                    file.write(left);
                }
            } catch (IOException e) {
                file.truncate(end); // a full disk must not leave half a line, which the next batch would go on with
                throw e;
            }
        }
    }
}
