package slateseam.simulate.network;

/**
 * Sees every byte on the virtual wire, from outside. A machine is told by its IP as text, the target of a connection or
 * datagram by its address with port ("10.0.3.1:6379"). Arrays must not be changed, and nothing may be called on the
 * network from here.
 */
public interface Observer {
    /** A machine begins to connect to an address. */
    default void connecting(long wire, String from, String to) {}

    /** The connection is up at the side that connected. */
    default void up(long wire) {}

    /** A machine's system took these bytes for sending. */
    default void sent(long wire, String from, byte[] bytes) {}

    /** A machine's program was handed these bytes. */
    default void delivered(long wire, String to, byte[] bytes) {}

    /** A side has ended its sending, or gave the connection up before it was up. */
    default void endedBy(long wire, String side) {}

    /** A side broke the connection off, or refused it; an empty side is neither of the two. */
    default void resetBy(long wire, String side) {}

    /** A datagram was sent, which will come or is lost. */
    default void datagram(String from, String to, byte[] bytes, boolean lost) {}
}
