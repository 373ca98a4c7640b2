package slateseam.router.useragent;

/** What the commands mean that come to one listener. */
@FunctionalInterface
public interface Dialect {
    /** Begins the exchange that the next command belongs to; it calls back when its answer is there. */
    Exchange exchange(Runnable ready);
}
