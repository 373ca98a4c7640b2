package slateseam.router.net;

/** Takes whole lines for standard error, and never waits. */
@FunctionalInterface
public interface Lines {
    /** Takes one line, given without its end; for want of room it is dropped. */
    void line(String text);
}
