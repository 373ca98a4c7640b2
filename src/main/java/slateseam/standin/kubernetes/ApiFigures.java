package slateseam.standin.kubernetes;

/**
 * How an API server behaves.
 *
 * @param watchNanos how long a watch lasts that names no time itself, 1 ms to 1 h
 * @param bookmarkNanos between the bookmarks of a watch that takes them, 1 ms to 1 h
 * @param chunkBytes longest chunk of an answer, 1 or more, so that an event may lie in several
 * @param goneAsAnswer whether a watch from before the compaction is answered with status 410, and not with an event
 * @param mostConnections that are taken; more are refused
 */
public record ApiFigures(
        long watchNanos, long bookmarkNanos, int chunkBytes, boolean goneAsAnswer, int mostConnections) {
    private static final long MILLI = 1_000_000;
    private static final long HOUR = 3_600_000 * MILLI;

    /** What API servers do unless told otherwise. */
    public static final ApiFigures USUAL = new ApiFigures(HOUR / 2, HOUR / 60, 1 << 20, false, 128);

    /** Checks the ranges. */
    public ApiFigures {
        if (watchNanos < MILLI || watchNanos > HOUR || bookmarkNanos < MILLI || bookmarkNanos > HOUR) {
            throw new IllegalArgumentException("a time lies outside 1 ms to 1 h");
        }
        if (chunkBytes < 1 || mostConnections < 1) {
            throw new IllegalArgumentException("chunks and connections are 1 at least");
        }
    }
}
