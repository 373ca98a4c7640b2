package slateseam.standin;

/** Where a party connects to others, or takes connections. */
public interface Net {
    /** Begins to connect to an address ("10.0.3.1:6379" form, as text); opened or broken follows at the party. */
    Wire connect(String from, String to, Party party);
    /** Takes connections at an address from now on; the listener is asked for a party for each. */
    void listen(String address, java.util.function.Function<Wire, Party> listener);
    /** Refuses connections at the address from now on; those that are open stay. */
    void unlisten(String address);
}
