package slateseam.standin;

/**
 * Is told what stand-ins did with requests, as an outside witness (the checker) needs it. Times are the clockwork's.
 */
public interface Witness {
    /**
     * A server began work that has the request's effect or makes its value: server's name, request id, key, whether
     * it is a write, the idempotency key or null.
     */
    default void ran(String server, String id, String key, boolean write, String idempotencyKey) {}
    /** A keyed write was dropped as a repeat. */
    default void dropped(String server, String id, String idempotencyKey) {}
    /** A server produced the one value or receipt for this id (exact bytes). */
    default void made(String server, String id, byte[] value) {}
    /**
     * A server was sent so much work (core seconds at yardstick 1) while it could do so much at that moment (cores x
     * speed x warmth).
     */
    default void load(String server, double work, double capacity) {}
    /** A server fell over because it was sent too much while cold. */
    default void fell(String server) {}
}
