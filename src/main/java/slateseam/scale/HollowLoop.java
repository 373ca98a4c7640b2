package slateseam.scale;

import java.io.IOException;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import slateseam.router.net.Clock;
import slateseam.router.net.Log;
import slateseam.router.net.Loop;

/** A thread with a router's loop, on which many hollow routers live. */
final class HollowLoop implements AutoCloseable {
    /** The beginning of the threads' names; the system keeps 15 letters of one. */
    static final String THREAD_NAME = "hollow-";

    private static final String INTERNAL_ERROR = ": internal-error: ";

    private final Loop loop;
    private final Thread thread;
    private final AtomicReference<String> firstError = new AtomicReference<>();
    private final AtomicInteger errors = new AtomicInteger();

    HollowLoop(int number, Impairments impairments, Clock clock) throws IOException {
        ImpairedProvider provider = new ImpairedProvider(impairments);
        Log log = new Log("hollow", clock, this::logged);
        loop = new Loop(provider, clock, log, Runtime.getRuntime().maxMemory());
        provider.later(loop::after);
        thread = new Thread(this::run, THREAD_NAME + number);
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        try {
            loop.run();
        } catch (IOException | RuntimeException e) {
            error("the loop ended: " + e);
        }
    }

    private void logged(String line) {
        if (line.contains(INTERNAL_ERROR)) {
            error(line);
        }
    }

    private void error(String text) {
        errors.incrementAndGet();
        firstError.compareAndSet(null, text);
    }

    Loop loop() {
        return loop;
    }

    /** Does something on the loop's thread, without waiting for it. */
    void run(Runnable action) {
        loop.handOver(action);
    }

    /** Does something on the loop's thread and waits for it. */
    <T> T call(Callable<T> action) throws InterruptedException {
        FutureTask<T> task = new FutureTask<>(action);
        loop.handOver(task);
        try {
            return task.get();
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    /** For how long something that was ready waited for the loop at the most since the last call, in nanoseconds. */
    long takeStall() throws InterruptedException {
        return call(loop::takeStall);
    }

    /** Faults inside the code under test, and the first of them; null if there was none. */
    String error() {
        return errors.get() == 0 ? null : errors.get() + " internal errors, the first: " + firstError.get();
    }

    @Override
    public void close() {
        loop.handOver(loop::stop);
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
