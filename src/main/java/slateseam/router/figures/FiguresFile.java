package slateseam.router.figures;

import java.nio.file.Path;
import slateseam.router.net.Console;

/** Figures at the end of a file, written by the console's thread, so that a slow disk holds up no request. */
final class FiguresFile extends Batches {
    private final Console console;
    private final Path file;

    FiguresFile(Console console, Path file) {
        super(MOST_CONSOLE_BYTES);
        this.console = console;
        this.file = file;
    }

    @Override
    boolean write(byte[] lines, Runnable failed) {
        return console.append(file, lines, failed);
    }
}
