package slateseam.standin;

/** What came is in a form that nobody sends. */
public final class UnreadableException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Says what is wrong with it. */
    public UnreadableException(String what) {
        super(what);
    }
}
