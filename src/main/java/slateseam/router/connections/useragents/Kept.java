package slateseam.router.connections.useragents;

/** One connection as the room sees it; {@link UserAgentRoom} alone changes it. */
public final class Kept {
    private final Object owner;
    Group group;
    Phase phase = Phase.SILENT;
    long since;
    /** What it is like: see {@link Worth}. */
    int kind = Worth.SILENT;

    Kept(Object owner, Group group, long now) {
        this.owner = owner;
        this.group = group;
        this.since = now;
    }

    /** Whose connection it is, as it was told when it was opened. */
    public Object owner() {
        return owner;
    }

    /** What it waits for. */
    public Phase phase() {
        return phase;
    }

    /** Since when it does, in nanoseconds. */
    public long since() {
        return since;
    }

    /** Whether it can be ended without an answer being owed. */
    boolean isSpare() {
        return phase == Phase.SILENT || phase == Phase.IDLE;
    }
}
