package slateseam.tier.members;

import java.util.Locale;

/** The reason for which a router distrusts its own view of the tier. */
public enum LocalHealthIssue {
    /** The router trusts its view. */
    NONE,
    /** The router has just started and has not heard any other member yet. */
    STARTING,
    /** The process was paused and has not heard a majority of the members it monitors since. */
    PAUSED,
    /** The router does not hear a majority of the members that were present recently. */
    MINORITY,
    /** Other members hold this router as failed or left. */
    UNHEARD;

    /** Returns the name used in metrics and logs. */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
