package slateseam.router.connections.servers;

/**
 * Remembers stray bytes that arrived after a server's answers or in place of an answer; a second instance remembers
 * broken connections. Each occurrence doubles the time for which this is remembered, from 30 s to 16 minutes.
 */
final class FaultMemory {
    private static final long INITIAL_MEMORY_NANOS = 30_000_000_000L;
    private static final int MAX_DOUBLINGS = 5;

    private int doublings = -1;
    private long until;

    /** Records an occurrence. */
    void recordFault(long now) {
        if (!isSuspect(now)) {
            doublings = Math.max(-1, doublings - 2);
        }
        doublings = Math.min(MAX_DOUBLINGS, doublings + 1);
        until = now + (INITIAL_MEMORY_NANOS << doublings);
    }

    boolean isSuspect(long now) {
        return doublings >= 0 && now < until;
    }
}
