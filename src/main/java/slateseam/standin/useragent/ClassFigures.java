package slateseam.standin.useragent;

/**
 * A class of requests as user agents see it. Times are in nanoseconds.
 *
 * @param name as requests tell it
 * @param share its part of all requests; parts need not add up to 1
 * @param write whether it brings a value instead of asking for one
 * @param effect what a second run of a request does
 * @param group the servers that drop repeats, for keyed classes: all, zone or cell
 * @param windowNanos for how long they do, for keyed classes
 * @param aimNanos an answer by then has its worth
 * @param deadlineNanos user agents wait no longer, over all tries
 * @param worth of one
 * @param lateWorth the part of the worth that an answer behind the aim still has, 0 to 1
 */
public record ClassFigures(
        String name,
        double share,
        boolean write,
        Effect effect,
        String group,
        long windowNanos,
        long aimNanos,
        long deadlineNanos,
        double worth,
        double lateWorth) {
    /** What a second run of a request does. */
    public enum Effect {
        /** No harm. */
        REPEATABLE,
        /** Nothing within the window, as it carries a key. */
        KEYED,
        /** Harm: it must never run twice. */
        ONCE
    }

    /** Whether user agents may ask again after any failure, within the window for keyed classes. */
    public boolean mayRepeat() {
        return effect == Effect.REPEATABLE || effect == Effect.KEYED && group.equals("all");
    }
}
