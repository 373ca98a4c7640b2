package slateseam.router.request;

/** The one final answer of a request. */
public sealed interface Answer {
    /** The value or the write's receipt, as an application server or the origin gave it for this request. */
    record Served(byte[] value) implements Answer {}

    /** The same, of which the value is on its way; whoever gets this takes it or stops it. */
    record Streamed(Incoming value) implements Answer {}

    /** An unavailable answer: trying again is harmless, after so long; 0 gives no advice. */
    record Unavailable(long retryAfterNanos) implements Answer {}

    /** Not served, nothing promised. */
    record Failed() implements Answer {}
}
