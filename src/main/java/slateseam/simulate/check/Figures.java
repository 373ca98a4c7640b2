package slateseam.simulate.check;

import java.util.List;

/**
 * The figures of the rules. Times are in nanoseconds.
 *
 * @param classes the classes of requests, at least one
 * @param attempts the most attempts of one request
 * @param slackNanos by how much an answer may come behind the user agent's deadline
 * @param graceNanos for how long a server that drains may still be sent requests
 * @param fallNanos the stretch in which a cold server counts what it is sent
 * @param descriptors the most descriptors of a router
 * @param heldBytes the most bytes that a router may hold
 */
public record Figures(
        List<ClassFigures> classes,
        int attempts,
        long slackNanos,
        long graceNanos,
        long fallNanos,
        int descriptors,
        long heldBytes) {
    /** By how much each time limit is longer on sockets. */
    public static final long SOCKETS_NANOS = 50_000_000L;

    /** Copies the list. */
    public Figures {
        classes = List.copyOf(classes);
    }

    /** What a second run of a request does. */
    public enum Repeats {
        /** Nothing. */
        HARMLESS,
        /** Nothing within the window, in which all servers drop it. */
        KEYED,
        /** Harm. */
        FORBIDDEN
    }

    /**
     * A class of requests; the window counts from the first send that may have run, and only where repeats are keyed.
     */
    public record ClassFigures(String name, Repeats repeats, long deadlineNanos, long windowNanos) {}

    ClassFigures named(String name) {
        for (ClassFigures figures : classes) {
            if (figures.name().equals(name)) {
                return figures;
            }
        }
        return null;
    }
}
