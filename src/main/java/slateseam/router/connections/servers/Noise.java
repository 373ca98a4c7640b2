package slateseam.router.connections.servers;

/**
 * What is remembered of bytes that came behind a server's answers, or in place of one; of connections that broke likewise.
 * Each time doubles how long that is remembered, from 30 s to 16 minutes.
 */
final class Noise {
    /** Of a rest after an answer: long against the machine's own delays, short against an answer's time. */
    static final long LEAST_REST = 4_000_000L;
    /** Of a rest: beyond that a further connection is cheaper, and a server that is so late is a sick one. */
    static final long MOST_REST = 50_000_000L;
    /** What a connection carries so soon after an answer may meet bytes that belong to that answer. */
    static final long SOON = 10_000_000L;

    private static final long FIRST_MEMORY = 30_000_000_000L;
    private static final int MOST_DOUBLINGS = 5;

    private int doublings = -1;
    private long until;
    private long lateness;

    /** Bytes came so long after the answer that they do not belong to; 0 if with it, or in place of one. */
    void heard(long now, long late) {
        if (!isSuspect(now)) {
            lateness = 0;
            doublings = Math.max(-1, doublings - 2);
        }
        doublings = Math.min(MOST_DOUBLINGS, doublings + 1);
        until = now + (FIRST_MEMORY << doublings);
        // What comes very late may as well be of another cause; no rest is as long.
        lateness = Math.max(lateness, Math.min(late, MOST_REST));
    }

    boolean isSuspect(long now) {
        return doublings >= 0 && now < until;
    }

    /** How long a connection is to rest after an answer; 0 where nothing is remembered. */
    long rest(long now) {
        return isSuspect(now) ? Math.min(MOST_REST, Math.max(LEAST_REST, 2 * lateness)) : 0;
    }
}
