package slateseam.router.net;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** Standard error with a reader that can stop, so that a write waits until it goes on. */
public final class Reader extends OutputStream {
    private final ByteArrayOutputStream read = new ByteArrayOutputStream();
    private boolean stopped;
    private boolean held;

    @Override
    public synchronized void write(byte[] bytes, int from, int length) {
        try {
            while (stopped) {
                held = true;
                notifyAll();
                wait();
            }
            read.write(bytes, from, length);
            notifyAll();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void write(int b) {
        write(new byte[] {(byte) b}, 0, 1);
    }

    /** From now on a write waits, or no longer. */
    public synchronized void stop(boolean stop) {
        stopped = stop;
        held = false;
        notifyAll();
    }

    /** Returns once a write waits. */
    public synchronized void awaitHeld() throws InterruptedException {
        while (!held) {
            wait();
        }
    }

    /** Returns all that was read, once that has the text. */
    public synchronized String await(String text) throws InterruptedException {
        while (!text().contains(text)) {
            wait();
        }
        return text();
    }

    /** All that was read. */
    public synchronized String text() {
        return read.toString(StandardCharsets.UTF_8);
    }
}
