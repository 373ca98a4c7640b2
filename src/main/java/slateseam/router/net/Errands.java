package slateseam.router.net;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Does what would hold up the loop, such as reading files and checking certificates, one after another on a thread of
 * its own, which ends when there is nothing to do. What comes of it goes back by {@link Loop#handOver}.
 */
public final class Errands implements Executor {
    private static final int MOST_WAITING = 64;
    private static final long KEPT_SECONDS = 10;

    private final ThreadPoolExecutor thread;

    /** Creates them without a thread; it is begun by the first errand. */
    public Errands() {
        thread = new ThreadPoolExecutor(
                1, 1, KEPT_SECONDS, TimeUnit.SECONDS, new ArrayBlockingQueue<>(MOST_WAITING), action -> {
                    Thread thread = new Thread(action, "errands");
                    // Guards the end of the program against a file system that does not answer.
                    thread.setDaemon(true);
                    return thread;
                });
        thread.allowCoreThreadTimeOut(true);
    }

    /**
     * Does an errand after those before it.
     *
     * @throws RejectedExecutionException if 64 of them wait already
     */
    @Override
    public void execute(Runnable errand) {
        thread.execute(errand);
    }
}
