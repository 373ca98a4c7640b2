package slateseam.tier.members;

import java.util.Locale;

/** How a router knows that a member is alive. */
public enum Reach {
    /** Messages of the member arrive at this router. */
    DIRECT,
    /** Messages of the member do not arrive here, but other members hear it. */
    BY_OTHERS,
    /** No member that this router hears receives messages of the member. */
    NOT_HEARD;

    /** Returns the name used in tables and logs. */
    public String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
