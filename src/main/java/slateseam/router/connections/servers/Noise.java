package slateseam.router.connections.servers;

/**
 * Remembers stray bytes that arrived after a server's answers or in place of an answer; a second instance remembers
 * broken connections. Each occurrence doubles the time for which this is remembered, from 30 s to 16 minutes.
 */
final class Noise {
    /**
     * The minimum pause in nanoseconds after an answer: long compared with the scheduling delays of the machine,
     * short compared with the time of an answer.
     */
    static final long LEAST_REST = 4_000_000L;
    /**
     * The maximum pause in nanoseconds after an answer: beyond it a further connection is cheaper, and a server that
     * sends stray bytes so late is faulty.
     */
    static final long MOST_REST = 50_000_000L;
    /**
     * The time in nanoseconds after an answer within which a new use of the connection may still receive stray bytes
     * of that answer.
     */
    static final long SOON = 10_000_000L;

    private static final long FIRST_MEMORY = 30_000_000_000L;
    private static final int MOST_DOUBLINGS = 5;

    private int doublings = -1;
    private long until;
    private long lateness;

    /**
     * Records that stray bytes arrived.
     *
     * @param late the nanoseconds between the preceding answer and the bytes; 0 if they came with an answer or in
     *     place of one
     */
    void heard(long now, long late) {
        if (!isSuspect(now)) {
            lateness = 0;
            doublings = Math.max(-1, doublings - 2);
        }
        doublings = Math.min(MOST_DOUBLINGS, doublings + 1);
        until = now + (FIRST_MEMORY << doublings);
        // Very late bytes may have another cause, so a longer pause would not help.
        lateness = Math.max(lateness, Math.min(late, MOST_REST));
    }

    boolean isSuspect(long now) {
        return doublings >= 0 && now < until;
    }

    /**
     * Returns for how many nanoseconds a connection must pause after an answer; 0 if no stray bytes are remembered.
     */
    long rest(long now) {
        return isSuspect(now) ? Math.min(MOST_REST, Math.max(LEAST_REST, 2 * lateness)) : 0;
    }
}
