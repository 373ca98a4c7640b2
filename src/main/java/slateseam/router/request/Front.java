package slateseam.router.request;

/** A way in for requests. It hands each to the core under a number of its own and takes the one answer back. */
public interface Front {
    /** Brings the final answer of an exchange; one whose user agent has left is passed over. */
    void answer(long exchange, Answer answer);
}
