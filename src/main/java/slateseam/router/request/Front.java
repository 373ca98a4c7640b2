package slateseam.router.request;

/**
 * An entry point for requests. A front passes each request to the core, together with an exchange number that the
 * front chooses, and receives the final answer under that number.
 */
public interface Front {
    /**
     * Delivers the final answer of an exchange. An answer is ignored if the user agent of its exchange has
     * disconnected.
     *
     * @return the answer that the user agent gets, which is a failure if there is no memory to hold this one
     */
    Answer answer(long exchange, Answer answer);

    /**
     * Looks for the user agent of an exchange before a further attempt is made for it. A user agent whose end may lie
     * behind input that is not read yet counts as absent.
     */
    boolean isPresent(long exchange);
}
