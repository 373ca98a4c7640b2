package slateseam.router.request;

/** How a request ended. Logs, metrics and the tap all use the words of this enum. */
public enum Ending {
    /** A read that an application server served. */
    HIT("hit"),
    /** A read that the origin served. */
    MISS("miss"),
    /** A write that was served. */
    WRITTEN("written"),
    /** The request got an unavailable answer. */
    UNAVAILABLE("unavailable"),
    /** The request failed, and may have been executed. */
    FAILED("failed"),
    /** The deadline passed before the answer arrived. Used only for the elements of a batch. */
    TIMEOUT("timeout"),
    /** The user agent disconnected before the answer was delivered. */
    LEFT("left");

    private final String word;

    Ending(String word) {
        this.word = word;
    }

    /** Returns the word for this ending in logs and metrics. */
    public String word() {
        return word;
    }
}
