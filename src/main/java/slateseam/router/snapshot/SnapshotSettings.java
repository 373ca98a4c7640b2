package slateseam.router.snapshot;

import java.nio.file.Path;

/**
 * Where and how snapshots are kept.
 *
 * @param folder where files lie; it must exist
 * @param router the router's name, which names its files
 * @param source what the farm is told by, such as an API's address and a service; a snapshot of another source is not
 *     used
 * @param everyNanos the least time between two writes
 * @param oldestNanos the most that a snapshot's age may be when it is read
 * @param mostBytes the most that a file may hold, at least 1,024
 */
public record SnapshotSettings(
        Path folder, String router, String source, long everyNanos, long oldestNanos, int mostBytes) {
    /** Room for some 10,000 servers, with some to spare. */
    public static final int USUAL_BYTES = 8 * 1024 * 1024;
}
