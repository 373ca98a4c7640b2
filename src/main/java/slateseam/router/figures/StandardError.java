package slateseam.router.figures;

import java.nio.charset.StandardCharsets;
import slateseam.router.net.Console;

/** Figures on standard error, up to a cap; the last line says that it was reached. */
final class StandardError extends Batches {
    private static final byte[] CAPPED = "figures capped\n".getBytes(StandardCharsets.US_ASCII);

    private final Console console;
    private final long mostBytes;
    private long written;
    private boolean full;
    private boolean over;

    StandardError(Console console, long mostBytes) {
        super(MOST_CONSOLE_BYTES);
        this.console = console;
        this.mostBytes = mostBytes;
    }

    @Override
    void add(byte[] line) {
        full |= written + added() + line.length + CAPPED.length > mostBytes;
        if (!full) {
            super.add(line);
            return;
        }
        send();
        over = over || console.bulk(CAPPED); // else there is no room now, and it is tried again with the next line
    }

    @Override
    boolean isOver() {
        return over;
    }

    @Override
    boolean write(byte[] lines, Runnable failed) {
        boolean taken = console.bulk(lines);
        written += taken ? lines.length : 0;
        return taken;
    }
}
