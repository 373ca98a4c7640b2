package slateseam.router.connections.useragents;

/** The state of one client connection in connection admission; only {@link UserAgentRoom} changes it. */
public final class Kept {
    private final Object owner;
    Group group;
    Phase phase = Phase.SILENT;
    long since;
    /** The kind of the connection; see {@link Worth}. */
    int kind = Worth.SILENT;

    Kept(Object owner, Group group, long now) {
        this.owner = owner;
        this.group = group;
        this.since = now;
    }

    /** Returns the owner that was given when the connection was opened. */
    public Object owner() {
        return owner;
    }

    /** Returns what the connection waits for. */
    public Phase phase() {
        return phase;
    }

    /** Returns the time in nanoseconds since which the connection has been in its phase. */
    public long since() {
        return since;
    }

    /** Returns whether the connection can be closed without leaving a request unanswered. */
    boolean isIdle() {
        return phase == Phase.SILENT || phase == Phase.IDLE;
    }
}
