package slateseam.tier.members;

import java.util.Locale;

/** The counters of the membership protocol. */
public enum Traffic {
    /** Datagrams sent. */
    SENT,
    /** Bytes of the datagrams sent. */
    SENT_BYTES,
    /** Datagrams accepted and processed. */
    TAKEN,
    /** Datagrams dropped because they are damaged or have another version. */
    DROPPED_UNREADABLE,
    /**
     * Datagrams dropped because they belong to another tier or come from an unknown router without an introduction.
     */
    DROPPED_STRANGER,
    /** Datagrams dropped because they are duplicated, delayed or from an earlier life. */
    DROPPED_LATE,
    /** Datagrams and claims dropped because their life or incarnation is implausible. */
    DROPPED_ABSURD,
    /** Suspicions raised by this router. */
    SUSPICIONS,
    /** Suspicions refuted by this router, of itself or on behalf of another member. */
    REFUTATIONS;

    /** Returns the name used in metrics. */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
