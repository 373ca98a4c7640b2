package slateseam.router.net;

/** What the other side sent breaks its protocol; the message says how. */
public final class MalformedException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates it with a message for the log. */
    public MalformedException(String message) {
        super(message);
    }
}
