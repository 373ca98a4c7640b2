package slateseam.standin.useragent;

/**
 * What a router answered.
 *
 * @param kind how
 * @param comeBackNanos when it says to come back; 0 where it does not
 * @param value the value or receipt; empty where it is none
 */
public record Answer(Kind kind, long comeBackNanos, byte[] value) {
    /** How a router answers. */
    public enum Kind {
        /** With a value or receipt. */
        SERVED,
        /** Turned away: another try does no harm. */
        UNAVAILABLE,
        /** With anything else: whether it ran is open. */
        FAILED,
        /** With bytes that cannot be read; whatever comes behind them is of no use. */
        UNREADABLE
    }
}
