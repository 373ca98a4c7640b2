package slateseam.trial;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.function.LongSupplier;

/** Who said what, and when by the rig's clock: one line each, name=value. Any thread may write. */
final class History implements AutoCloseable {
    private final BufferedWriter out;
    private final LongSupplier now;
    private long begin;
    private boolean closed;

    History(Path file, LongSupplier now) throws IOException {
        this.out = Files.newBufferedWriter(file);
        this.now = now;
        this.begin = now.getAsLong();
    }

    /** Times count from here on; those of the start counted from the rig's own beginning. */
    synchronized void begins(long at) {
        begin = at;
    }

    /** A line of a router's log; figures stay in that log. */
    void logged(String router, String line) {
        if (!line.startsWith("slateseam.") && !line.startsWith("hot ")) {
            String text = line.startsWith(router + ": ") ? line.substring(router.length() + 2) : line;
            say(router, "said=\"" + text + "\"");
        }
    }

    synchronized void say(String who, String what) {
        try {
            if (!closed) {
                out.write(String.format(Locale.ROOT, "t=%.3f who=%s %s%n", (now.getAsLong() - begin) / 1e9, who, what));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public synchronized void close() {
        try {
            closed = true;
            out.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
