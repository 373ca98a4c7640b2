package slateseam.router.snapshot;

/** What became of a snapshot that was to be read or written. */
public enum Finding {
    /** It is whole, and in use. */
    GOOD("in use"),
    /** There is none yet. */
    NONE("there is none"),
    /** It ends too early: it was not written whole, or was cut. */
    TORN("it is not whole"),
    /** Its length or checksum is not what it tells. */
    DAMAGED("it is damaged"),
    /** It is no snapshot. */
    FOREIGN("it is no snapshot"),
    /** Another version of this program wrote it. */
    OTHER_FORMAT("it has a format that this program does not read"),
    /** Another router wrote it. */
    OTHER_ROUTER("it is another router's"),
    /** It tells of another source of the farm. */
    OTHER_SOURCE("it tells of another source of the farm"),
    /** It is older than is allowed. */
    TOO_OLD("it is too old"),
    /** It was written later than now, so that nobody can say how old it is. */
    AHEAD("it was written later than now"),
    /** It holds more than is allowed. */
    TOO_LARGE("it is too large"),
    /** It is whole, but what it holds makes no sense. */
    MALFORMED("what it holds cannot be read"),
    /** The file or its folder cannot be read. */
    UNREADABLE("it cannot be read"),
    /** The file or its folder cannot be written. */
    UNWRITABLE("it cannot be written"),
    /** There is no room for it. */
    DISK_FULL("the disk is full"),
    /** Another process of the same router's name writes it. */
    LOCKED("another process writes it");

    private final String text;

    Finding(String text) {
        this.text = text;
    }

    /** For the operators' log. */
    public String text() {
        return text;
    }
}
