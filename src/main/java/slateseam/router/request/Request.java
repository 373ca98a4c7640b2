package slateseam.router.request;

/**
 * A request as a front took it.
 *
 * @param key what it asks for
 * @param id its id
 * @param facts its list of names and values, as it came
 * @param value the value of a write; null for a read
 * @param version the settings that it came with
 * @param type the number of its class in them
 * @param tenant the number of its tenant
 * @param repeated whether the user agent marked it as a retry
 * @param ttlNanos how long the user agent waits, from when it sent it
 * @param streams whether a long value may be answered while it comes
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
    /** The slot of its class, by which it is counted. */
    public int requestClass() {
        return version.slots().get(type);
    }

    /** Whether it changes what is stored. */
    public boolean isWrite() {
        return value != null;
    }

    /** The size of the value that it carries. */
    public int valueBytes() {
        return value == null ? 0 : value.length;
    }
}
