package slateseam.standin;

/** What a party does with a connection of its own. */
public interface Party {
    /** The connection is up. */
    default void opened(Wire wire) {}
    /** Bytes came; they are not changed afterwards. */
    void received(Wire wire, byte[] bytes);
    /** The other side has ended its sending; this side may still write. */
    void ended(Wire wire);
    /** The connection broke, or never came up; nothing more happens on it. */
    void broken(Wire wire);
}
