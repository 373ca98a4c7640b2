package slateseam.router.connections.useragents;

import java.util.Arrays;

/** What is known of each kind of connection: new ones, those used once, and those that came back by how soon they did. */
final class Worth {
    /** Nothing has come on it yet. */
    static final int SILENT = 0;
    /** It was used once. */
    static final int ONCE = 1;
    /** It came back after the first stretch; further kinds follow for longer ones. */
    static final int AGAIN = 2;

    static final int KINDS = AGAIN + Returns.STRETCHES;
    private static final double GUESSED_SIGHTS = 2;

    private final Returns[] kinds = new Returns[KINDS];

    Worth() {
        double[] silent = new double[Returns.STRETCHES];
        Arrays.fill(silent, 0.05);
        Arrays.fill(silent, 0, 4, 0.6); // a command follows at once, or the user agent came for something else
        kinds[SILENT] = new Returns(GUESSED_SIGHTS, silent);
        double[] once = new double[Returns.STRETCHES];
        Arrays.fill(once, 0.25);
        kinds[ONCE] = new Returns(GUESSED_SIGHTS, once);
        for (int last = 0; last < Returns.STRETCHES; last++) {
            double[] again = new double[Returns.STRETCHES];
            Arrays.fill(again, 0.1);
            again[last] = 0.6;
            again[Math.min(last + 1, Returns.STRETCHES - 1)] = 0.6;
            kinds[AGAIN + last] = new Returns(GUESSED_SIGHTS, again);
        }
    }

    /** The kind of one that came back after so long. */
    static int after(long idleNanos) {
        return AGAIN + Returns.stretch(idleNanos);
    }

    Returns of(int kind) {
        return kinds[kind];
    }
}
