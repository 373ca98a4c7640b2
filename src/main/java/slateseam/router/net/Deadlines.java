package slateseam.router.net;

import java.util.TreeSet;

/** All deadlines of the program, ordered by time; those of one time by when they were set. */
public final class Deadlines {
    /** A deadline that was set and may be cancelled. */
    public static final class Deadline implements Comparable<Deadline> {
        private final long at;
        private final long number;
        private final Runnable action;

        private Deadline(long at, long number, Runnable action) {
            this.at = at;
            this.number = number;
            this.action = action;
        }

        @Override
        public int compareTo(Deadline other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    private final TreeSet<Deadline> ordered = new TreeSet<>();
    private long numbers;

    Deadlines() {
    }

    Deadline set(long at, Runnable action) {
        Deadline deadline = new Deadline(at, numbers++, action);
        ordered.add(deadline);
        return deadline;
    }

    /** Cancels a deadline; null and one that has passed are ignored. */
    void cancel(Deadline deadline) {
        if (deadline != null) {
            ordered.remove(deadline);
        }
    }

    /** The time of the next deadline; {@link Long#MAX_VALUE} if there is none. */
    long next() {
        return ordered.isEmpty() ? Long.MAX_VALUE : ordered.first().at;
    }

    /** Takes the next deadline's action if it is due, else returns null. */
    Runnable due(long now) {
        return next() <= now ? ordered.pollFirst().action : null;
    }
}
