package slateseam.tier.members;

import java.util.Locale;

/**
 * The state of a member. At the same life and incarnation, a claim with a later constant overrides one with an
 * earlier constant. The ordinal is written to the wire.
 */
public enum State {
    /** At least one member hears it. */
    ALIVE,
    /** The routers that monitor the member hear nothing from it, and the suspicion has not been refuted yet. */
    SUSPECT,
    /** The suspicion was not refuted in time. */
    FAILED,
    /** The member announced its shutdown. */
    LEFT;

    /** Returns whether the member is no longer part of the tier. */
    public boolean isGone() {
        return this == FAILED || this == LEFT;
    }

    /** Returns the name used in metrics and logs. */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
