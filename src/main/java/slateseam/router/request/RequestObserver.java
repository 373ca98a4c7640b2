package slateseam.router.request;

/** Is told of each request when it has ended, on the loop's thread. It watches, and decides nothing. */
@FunctionalInterface
public interface RequestObserver {
    /**
     * A request has ended so long after it came.
     *
     * @param requestClass the slot of its class
     * @param tenant the number of its tenant; one past the last for those that the settings do not know
     * @param key what it asked for; not to be changed
     */
    void ended(int requestClass, int tenant, byte[] key, Ending ending, long nanos);
}
