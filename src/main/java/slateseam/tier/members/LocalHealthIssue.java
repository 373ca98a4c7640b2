package slateseam.tier.members;

import java.util.Locale;

/** Why a router does not trust what it sees. */
public enum LocalHealthIssue {
    /** It does. */
    NONE,
    /** It has just started and has heard nobody yet. */
    STARTING,
    /** It stood still, and has not heard a majority again since. */
    PAUSED,
    /** It does not hear a majority of those who were there. */
    MINORITY,
    /** Others take it for gone. */
    UNHEARD;

    /** As figures and logs name it. */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
