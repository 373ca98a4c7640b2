package slateseam.simulate.check;

import java.util.List;

/**
 * The figures of the rules. Times are in nanoseconds.
 *
 * @param classes the classes of requests, at least one
 * @param attempts the most attempts of one request
 * @param slackNanos by how much an answer may come behind the user agent's deadline
 * @param graceNanos for how long a server that drains may still be sent requests
 * @param cold what a server that has just started bears
 * @param descriptors the most descriptors of a router
 * @param heldBytes the most bytes that a router may hold
 */
public record Figures(
        List<ClassFigures> classes,
        int attempts,
        long slackNanos,
        long graceNanos,
        Cold cold,
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
     *
     * @param weight the mean work of one as a multiple of the mean over all requests
     */
    public record ClassFigures(String name, Repeats repeats, long deadlineNanos, long windowNanos, double weight) {}

    /**
     * What the settings say of a server that has just started. Its capacity grows evenly from a share to the whole.
     *
     * @param multiple sent more than so many times its present capacity, it falls
     * @param fallNanos the stretch in which it counts what it is sent
     * @param startShare the share of its capacity that it has at its start
     * @param warmNanos how long after its start it has all of its capacity
     */
    public record Cold(double multiple, long fallNanos, double startShare, long warmNanos) {
        /** The part of its capacity that a server has so long after its start. */
        double share(long sinceStartNanos) {
            return sinceStartNanos >= warmNanos ? 1 : startShare + (1 - startShare) * sinceStartNanos / warmNanos;
        }
    }

    ClassFigures named(String name) {
        for (ClassFigures figures : classes) {
            if (figures.name().equals(name)) {
                return figures;
            }
        }
        return null;
    }
}
