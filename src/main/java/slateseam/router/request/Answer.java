package slateseam.router.request;

/** The final answer of a request; each request gets exactly one. */
public sealed interface Answer {
    /** The value of a read or the receipt of a write, as an application server or the origin returned it. */
    record Served(byte[] value) implements Answer {}

    /**
     * A served value that is still arriving from the server. The receiver must either consume the value or stop it.
     */
    record Streamed(Incoming value) implements Answer {}

    /**
     * The request was not served, and repeating it is harmless.
     *
     * @param retryAfterNanos the advised time to wait before a retry, in nanoseconds; 0 for no advice
     */
    record Unavailable(long retryAfterNanos) implements Answer {}

    /** The request was not served, and it is not known whether it was executed. */
    record Failed() implements Answer {}
}
