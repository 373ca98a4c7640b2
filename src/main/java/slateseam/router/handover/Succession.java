package slateseam.router.handover;

/**
 * Who a process is while two of one router may run. Only one of them uses the router's supply and holds its port for the
 * other routers' messages; while there are two, each keeps to half of the descriptors.
 */
public final class Succession {
    /** What a process is. */
    public enum Role {
        /** No other process of this router runs. */
        SOLE,
        /** It serves, and one that is to take over has come. */
        PREDECESSOR,
        /** It has come to take over: it takes user agents, and the other has the supply. */
        HEIR,
        /** It has taken over, and the other still ends. */
        SUCCESSOR,
        /** It has handed over, and ends. */
        RETIRED
    }

    private Role role;

    /** Begins as the sole process, or as one that is to take over. */
    public Succession(boolean another) {
        role = another ? Role.HEIR : Role.SOLE;
    }

    /** What this process is. */
    public Role role() {
        return role;
    }

    /** One that is to take over has come, or has gone without doing so. */
    public void heir(boolean there) {
        if (role == Role.SOLE && there) {
            role = Role.PREDECESSOR;
        } else if (role == Role.PREDECESSOR && !there) {
            role = Role.SOLE;
        }
    }

    /** This process is told to end; whether it is to hand over. */
    public boolean ends() {
        if (role == Role.PREDECESSOR) {
            role = Role.RETIRED;
            return true;
        }
        return false;
    }

    /** The other has handed over: whether this process takes over just now. */
    public boolean handed() {
        if (role == Role.HEIR) {
            role = Role.SUCCESSOR;
            return true;
        }
        return false;
    }

    /** The other has ended, in whatever way: whether this process takes over just now. */
    public boolean alone() {
        boolean takesOver = role == Role.HEIR;
        if (takesOver || role == Role.SUCCESSOR) {
            role = Role.SOLE;
        }
        return takesOver;
    }

    /** Whether this process uses the router's supply and talks to other routers. */
    public boolean hasSupply() {
        return role != Role.HEIR && role != Role.RETIRED;
    }

    /** Whether descriptors are shared with another process. */
    public boolean isShared() {
        return role != Role.SOLE;
    }
}
