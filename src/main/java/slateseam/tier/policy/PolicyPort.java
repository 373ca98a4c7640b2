package slateseam.tier.policy;

import slateseam.tier.agreement.DurableState;

/** The services that {@link Policy} needs from its environment. */
public interface PolicyPort {
    /** Sends a datagram to a router; the datagram may be lost. */
    void send(int router, byte[] datagram);

    /**
     * Writes a change of the voter's durable state; once it is on disk, {@link Policy#persisted} must be called with
     * its number.
     */
    void persist(long number, DurableState.Change change);

    /** Discards all changes of the voter's durable state written so far; a new state begins. */
    void forget(String why);

    /** Returns why this router cannot apply a document; null if it can. */
    String check(byte[] document);

    /** Puts a version into effect; an empty document brings back the router's own settings file. */
    void holds(Version version, byte[] document);

    /**
     * Reports an event to operators.
     *
     * @param kind the name of the event
     * @param text its details as {@code key=value} pairs
     */
    void tell(String kind, String text);

    /** Returns the wall-clock time in Unix milliseconds, which is used for display only. */
    long unixMillis();

    /** Returns the request counts since the start of the router. */
    Tally tally();

    /**
     * Request counts since the start of the router.
     *
     * @param asked requests of each class that arrived
     * @param served requests of each class that were served
     * @param refused requests that were answered as unavailable
     */
    record Tally(long[] asked, long[] served, long refused) {}
}
