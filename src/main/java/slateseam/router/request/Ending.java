package slateseam.router.request;

/** How a request ended, in the one set of words that features show. */
public enum Ending {
    /** A read that an application server served. */
    HIT("hit"),
    /** A read that the origin served. */
    MISS("miss"),
    /** A write that was served. */
    WRITTEN("written"),
    /** It got an unavailable answer. */
    UNAVAILABLE("unavailable"),
    /** It failed, and may have run. */
    FAILED("failed"),
    /** Its time was over before its answer came; elements of a batch only. */
    TIMEOUT("timeout"),
    /** Its user agent left before its answer came. */
    LEFT("left");

    private final String word;

    Ending(String word) {
        this.word = word;
    }

    /** The word that is shown. */
    public String word() {
        return word;
    }
}
