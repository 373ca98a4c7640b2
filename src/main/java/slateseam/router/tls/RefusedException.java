package slateseam.router.tls;

import java.io.IOException;

/** The other side is not to be trusted, or not to be talked to; the message says why in one line. */
public final class RefusedException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates it with a message for the log. */
    public RefusedException(String message) {
        super(message);
    }
}
