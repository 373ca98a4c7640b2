package slateseam.router.connections.useragents;

/** What a connection of a user agent waits for. */
public enum Phase {
    /** No byte has arrived yet. */
    SILENT,
    /** A part of a command has arrived. */
    HALF,
    /** A request is in progress, or its answer has not been read yet. */
    BUSY,
    /** All requests are answered. */
    IDLE,
    /** The router has closed its sending side, and waits for the user agent to close too. */
    ENDING,
    /** The connection is closed. */
    GONE
}
