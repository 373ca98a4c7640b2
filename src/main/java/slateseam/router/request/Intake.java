package slateseam.router.request;

/** The interface of the core that fronts use to submit and withdraw requests. */
public interface Intake {
    /**
     * Accepts a request.
     *
     * @param exchange the number under which the front expects the answer
     * @return the ticket of the request; -1 if it was refused at once, so that the front already has the answer
     */
    long arrived(Request request, Front front, long exchange);

    /**
     * Drops a request whose user agent no longer waits, for the given reason; no answer follows.
     *
     * @param released called once a repeat of the request can no longer run beside an attempt that was made for it
     */
    void withdrawn(long ticket, Ending why, Runnable released);
}
