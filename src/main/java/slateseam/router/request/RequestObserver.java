package slateseam.router.request;

/** Is notified of each request that has ended, on the thread of the loop. An observer does not influence requests. */
@FunctionalInterface
public interface RequestObserver {
    /**
     * Called when a request has ended.
     *
     * @param requestClass the slot of the request class
     * @param tenant the number of the tenant; one past the last number for tenants that the settings do not list
     * @param key the key of the request; must not be modified
     * @param nanos the time from the arrival of the request to its end
     */
    void ended(int requestClass, int tenant, byte[] key, Ending ending, long nanos);
}
