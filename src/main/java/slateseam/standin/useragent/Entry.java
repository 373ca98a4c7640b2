package slateseam.standin.useragent;

/** Chooses the router for a connection. */
@FunctionalInterface
public interface Entry {
    /** The address of a router that is held to be up; null if there is none. */
    String router();
}
