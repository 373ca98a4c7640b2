package slateseam.standin.kubernetes;

/** A script cannot be read or played; the message begins with the line's number. */
public final class InvalidScriptException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidScriptException(int line, String what) {
        super("line " + line + ": " + what);
    }
}
