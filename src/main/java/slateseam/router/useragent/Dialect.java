package slateseam.router.useragent;

/** Interprets the commands received at one listener. */
@FunctionalInterface
public interface Dialect {
    /** Begins the exchange that the next command on a connection belongs to. */
    Exchange exchange(Exchange.Pipeline pipeline);
}
