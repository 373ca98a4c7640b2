package slateseam.decision;

/** How a request stands to its tenant's share when it arrives. */
enum ShareUse {
    /** Its tenant has not used up its share. */
    WITHIN,
    /**
     * Beyond the share that this router has, which has just started: the ring may still bring more. It is handled like
     * work within, and draws no supply from other routers.
     */
    UNSETTLED,
    /** Beyond its tenant's share, or of a tenant that the settings do not list. */
    BEYOND
}
