package slateseam.router.useragent;

/** Interprets the commands received at one listener. */
@FunctionalInterface
public interface Dialect {
    /**
     * Begins the exchange that the next command belongs to; {@code ready} runs when the answer of the exchange is
     * available.
     */
    Exchange exchange(Runnable ready);
}
