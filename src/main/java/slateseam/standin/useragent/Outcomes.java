package slateseam.standin.useragent;

/** Is told what user agents did and got. Times are Unix time in nanoseconds. */
public interface Outcomes {
    /** How a request ended for whoever asked. */
    enum Ending {
        /** With its value or receipt. */
        SERVED,
        /** Turned away, and not tried again. */
        UNAVAILABLE,
        /** With an error, or with what could not be read. */
        FAILED,
        /** No answer came in the time that was told. */
        GIVEN_UP,
        /** The connection broke when it was out. */
        BROKEN,
        /** It was never sent: no connection came up. */
        UNREACHABLE,
        /** Its user agent left early, of its own will. */
        LEFT
    }

    /** A request was first asked. */
    default void asked(Request request) {}

    /** A try was written to a router; again is true if it is sent once more because a close had crossed it. */
    default void tried(Request request, String id, String router, long at, boolean again) {}

    /** A try was answered; one that had been given up may be, too. */
    default void answered(Request request, String id, Answer answer, long at) {}

    /** A request ended; its answer, if it was served, was told before. */
    default void ended(Request request, Ending ending, long at) {}

    /** A rude user agent used this id of somebody else's open request, so that what comes with it proves nothing. */
    default void borrowed(String id, String router, long at) {}

    /** Bytes came from a router that nobody had asked for. */
    default void unasked(String userAgent, String router, long at) {}
}
