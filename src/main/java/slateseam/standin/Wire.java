package slateseam.standin;

/** One side's end of a stream connection. Calls never call back at once: what they cause comes as a later happening. */
public interface Wire {
    /** A number of this connection, never used again in a run. */
    long number();
    /** Queues bytes behind those written before; the array is not changed afterwards. Nothing happens after end() or reset(). */
    void write(byte[] bytes);
    /** Bytes written and not yet taken by the other side's system. */
    long unsent();
    /** Ends the sending once all is sent; receiving goes on. */
    void end();
    /** Breaks the connection off: what is queued is lost, the other side sees a reset. */
    void reset();
    /** Stops or goes on taking what comes (the window fills and pushes back). */
    void pause(boolean stop);
}
