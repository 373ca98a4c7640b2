package slateseam.tier.policy;

import slateseam.tier.agreement.DurableState;

/** What the policy asks of whoever carries it. */
public interface PolicyPort {
    /** Sends a datagram to a router; it may be lost. */
    void send(int router, byte[] datagram);

    /** Writes a change of the voter's memory; {@link Policy#persisted} is to be called with its number once it lasts. */
    void persist(long number, DurableState.Change change);

    /** The voter's memory begins anew: what was written so far is void. */
    void forget(String why);

    /** What is wrong with a document for this router; null if nothing is. */
    String check(byte[] document);

    /** From now on this version is served by; of no document, what the router's own file says. */
    void holds(Version version, byte[] document);

    /** Something that operators are to know. */
    void tell(String kind, String text);

    /** The time of day in Unix milliseconds, which is only ever shown. */
    long unixMillis();

    /** Requests of each class that have come, and that were served, and unavailable answers last; since the start. */
    Tally tally();

    /** Counts since the start. */
    record Tally(long[] asked, long[] served, long refused) {}
}
