package slateseam.decision;

/** Relation of an arriving request to its tenant's share at this router. */
enum ShareUse {
    /** The tenant has not used up its share. */
    WITHIN,
    /**
     * The request is beyond the share that this router holds, but the router has just started and the ring may still
     * move more of the share here. The request is handled like one within the share, but does not count as demand
     * that draws supply from other routers.
     */
    UNSETTLED,
    /** The request is beyond its tenant's share, or its tenant is not listed in the settings. */
    BEYOND
}
