package slateseam.simulate.check;

/** What came can never become a message. */
final class Garbled extends Exception {
    private static final long serialVersionUID = 1L;

    Garbled(String message) {
        super(message, null, false, false);
    }
}
