package slateseam.router.connections.servers;

/**
 * Remembers stray bytes that arrived after a server's answers or in place of an answer; a second instance remembers
 * broken connections. Each occurrence doubles the time for which this is remembered, from 30 s to 16 minutes.
 */
final class FaultMemory {
    /**
     * The minimum pause in nanoseconds after an answer: long compared with the scheduling delays of the machine,
     * short compared with the time of an answer.
     */
    static final long MIN_PAUSE_NANOS = 4_000_000L;
    /**
     * The maximum pause in nanoseconds after an answer: beyond it a further connection is cheaper, and a server that
     * sends stray bytes so late is faulty.
     */
    static final long MAX_PAUSE_NANOS = 50_000_000L;
    /**
     * The time in nanoseconds after an answer within which a new use of the connection may still receive stray bytes
     * of that answer.
     */
    static final long STRAY_WINDOW_NANOS = 10_000_000L;

    private static final long INITIAL_MEMORY_NANOS = 30_000_000_000L;
    private static final int MAX_DOUBLINGS = 5;

    private int doublings = -1;
    private long until;
    private long lateness;

    /**
     * Records that stray bytes arrived.
     *
     * @param late the nanoseconds between the preceding answer and the bytes; 0 if they came with an answer or in
     *     place of one
     */
    void recordFault(long now, long late) {
        if (!isSuspect(now)) {
            lateness = 0;
            doublings = Math.max(-1, doublings - 2);
        }
        doublings = Math.min(MAX_DOUBLINGS, doublings + 1);
        until = now + (INITIAL_MEMORY_NANOS << doublings);
        // Very late bytes may have another cause, so a longer pause would not help.
        lateness = Math.max(lateness, Math.min(late, MAX_PAUSE_NANOS));
    }

    boolean isSuspect(long now) {
        return doublings >= 0 && now < until;
    }

    /**
     * Returns for how many nanoseconds a connection must pause after an answer; 0 if no stray bytes are remembered.
     */
    long pauseNanos(long now) {
        return isSuspect(now) ? Math.min(MAX_PAUSE_NANOS, Math.max(MIN_PAUSE_NANOS, 2 * lateness)) : 0;
    }
}
