package slateseam.standin;

/** What stand-ins count. */
public enum Counter {
    /** Commands and requests that came whole, probes not among them. */
    ASKED,
    /** Answers with a kept value. */
    HIT,
    /** Answers that the key is not kept. */
    MISS,
    /** The same while another fetch of it is out. */
    PENDING,
    /** Reads that the origin answered with a value, whether or not somebody still waited. */
    FETCHED,
    /** Writes carried out. */
    WRITTEN,
    /** Keyed writes dropped as repeats. */
    REPEAT,
    /** Turned away, never run: no room, no time left, told so. */
    TURNED_AWAY,
    /** Ended in an error after the work. */
    FAILED,
    /** Dropped while they waited, or stopped in work, as nobody waits for them. */
    STOPPED,
    /** In a form that nobody sends. */
    UNREADABLE,
    /** Probes and reports asked for. */
    PROBED,
    /** Connections that came up. */
    CONNECTED,
    /** Connections beyond the cap that came up all the same. */
    SURPLUS,
    /** Connections closed as idle. */
    IDLE,
    /** Requests that came while the server drained. */
    ASKED_DRAINING,
    /** Answers spoilt on demand. */
    SPOILT
}
