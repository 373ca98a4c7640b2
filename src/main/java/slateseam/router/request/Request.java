package slateseam.router.request;

/**
 * A request as a front took it.
 *
 * @param key what it asks for
 * @param id its id
 * @param facts its list of names and values, as it came
 * @param value the value of a write; null for a read
 * @param requestClass the number of its class
 * @param tenant the number of its tenant
 * @param repeated whether the user agent marked it as a retry
 * @param ttlNanos how long the user agent waits, from when it sent it
 */
public record Request(byte[] key, byte[] id, byte[] facts, byte[] value, int requestClass, int tenant,
        boolean repeated, long ttlNanos) {
    /** Whether it changes what is stored. */
    public boolean isWrite() {
        return value != null;
    }

    /** The size of the value that it carries. */
    public int valueBytes() {
        return value == null ? 0 : value.length;
    }
}
