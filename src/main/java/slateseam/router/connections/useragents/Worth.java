package slateseam.router.connections.useragents;

import java.util.Arrays;

/**
 * The priorities of idle connections by kind: new connections, connections used once, and connections used
 * repeatedly, by their last idle time before a use.
 */
final class Worth {
    /** The kind of connections on which nothing has arrived yet. */
    static final int SILENT = 0;
    /** The kind of connections that were used once. */
    static final int ONCE = 1;
    /**
     * The kind of connections that were used again within the first interval of idle time; the kinds for longer
     * intervals follow.
     */
    static final int AGAIN = 2;

    static final int KINDS = AGAIN + Returns.STRETCHES;
    private static final double GUESSED_SIGHTS = 2;

    private final Returns[] kinds = new Returns[KINDS];

    Worth() {
        double[] silent = new double[Returns.STRETCHES];
        Arrays.fill(silent, 0.05);
        Arrays.fill(silent, 0, 4, 0.6); // a command follows at once, or the user agent connected for another purpose
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

    /** Returns the kind of a connection that was used again after an idle time. */
    static int after(long idleNanos) {
        return AGAIN + Returns.stretch(idleNanos);
    }

    Returns of(int kind) {
        return kinds[kind];
    }
}
