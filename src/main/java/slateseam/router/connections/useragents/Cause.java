package slateseam.router.connections.useragents;

/** Why a connection of a user agent was ended, as figures show it. */
public enum Cause {
    /** The user agent closed it, or it broke. */
    LEFT("left"),
    /** It was idle, or silent from its start, for as long as any may be. */
    STALE("stale"),
    /** It made room: it was worth less than a connection that is still to come. */
    ROOM("room"),
    /** It came from where more than half of the connections come from already, while few were left. */
    CROWD("crowd"),
    /** What it sent could not be read, or the rest of a command did not come. */
    MALFORMED("malformed"),
    /** Its answers were not read. */
    UNREAD("unread"),
    /** The rest of a long value did not come from its server. */
    CUT("cut"),
    /** The router ends. */
    PLANNED("planned");

    private final String word;

    Cause(String word) {
        this.word = word;
    }

    /** The word that is shown. */
    public String word() {
        return word;
    }
}
