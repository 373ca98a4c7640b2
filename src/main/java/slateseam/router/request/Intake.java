package slateseam.router.request;

/** What the ways in need of the core. */
public interface Intake {
    /** Takes a request and returns its ticket; -1 if it was answered at once, for want of room. */
    long arrived(Request request, Front front, long exchange);

    /** The user agent waits no longer, for this reason; nothing is owed any more. */
    void withdrawn(long ticket, Ending why);
}
