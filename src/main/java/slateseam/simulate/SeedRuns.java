package slateseam.simulate;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import java.util.function.LongFunction;

/** Plays many seeds on some threads, one thread to a seed, and hands the results on in the order of the seeds. */
final class SeedRuns {
    /** Seeds begun for each thread, at most, before the first of them is handed on. */
    private static final int AHEAD = 8;

    private SeedRuns() {}

    /**
     * Plays the seeds from {@code first} to {@code last}.
     *
     * @throws IllegalStateException if the simulation itself failed, with what it threw as the cause
     */
    static <R> void play(long first, long last, int threads, LongFunction<R> play, Consumer<R> taker) {
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        Deque<Future<R>> out = new ArrayDeque<>();
        long next = first;
        try {
            for (long seed = first; seed <= last; seed++) {
                while (next <= last && out.size() < AHEAD * threads) {
                    long begun = next++;
                    out.add(pool.submit(() -> play.apply(begun)));
                }
                taker.accept(out.poll().get());
            }
        } catch (ExecutionException e) {
            throw new IllegalStateException("the simulation failed: " + e.getCause(), e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        } finally {
            pool.shutdownNow();
        }
    }
}
