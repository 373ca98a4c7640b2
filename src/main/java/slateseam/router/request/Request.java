package slateseam.router.request;

/**
 * A request as a front received it.
 *
 * @param key the key to read or write
 * @param id the id that the user agent gave the request
 * @param facts the list of names and values of the request, as received
 * @param value the value of a write; null for a read
 * @param version the settings that were in force when the request arrived
 * @param type the number of the request class in those settings
 * @param tenant the number of the tenant
 * @param repeated whether the user agent marked the request as a retry
 * @param ttlNanos how long the user agent waits for the answer, from the time it sent the request
 * @param streams whether a long value may be streamed to the user agent while it arrives from the server
 */
public record Request(
        byte[] key,
        byte[] id,
        byte[] facts,
        byte[] value,
        Version version,
        int type,
        int tenant,
        boolean repeated,
        long ttlNanos,
        boolean streams) {
    /** Returns the slot of the request class, under which the request is counted. */
    public int requestClass() {
        return version.slots().get(type);
    }

    /** Returns whether this request is a write. */
    public boolean isWrite() {
        return value != null;
    }

    /** Returns the size of the value of a write in bytes; 0 for a read. */
    public int valueBytes() {
        return value == null ? 0 : value.length;
    }
}
