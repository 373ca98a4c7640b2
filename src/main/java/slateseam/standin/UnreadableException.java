package slateseam.standin;

/** What came is in a form that nobody sends. */
final class UnreadableException extends Exception {
    private static final long serialVersionUID = 1L;

    UnreadableException(String what) {
        super(what);
    }
}
