package slateseam.router.connections.useragents;

/** What a connection of a user agent waits for. */
public enum Phase {
    /** It has brought no byte yet. */
    SILENT,
    /** A part of a command has come. */
    HALF,
    /** A request of it is open, or its answer is not read yet. */
    BUSY,
    /** All is answered. */
    IDLE,
    /** The router has ended its sending; the user agent is to end too. */
    ENDING,
    /** It is closed. */
    GONE
}
