package slateseam.tier.members;

/**
 * A change of this router's view of the tier, reported through {@link MembersPort#changed}.
 *
 * @param kind what changed
 * @param member the name of the member that changed; this router's own name for {@link Kind#DOUBT}
 * @param number the number of that member in the list of peers, -1 if it is not known
 * @param why the cause and the previous state, as space-separated {@code name=value} pairs
 */
public record Change(Kind kind, String member, int number, String why) {
    /** The kinds of change; each one is written to the log as an event of its own. */
    public enum Kind {
        /** A member appeared that was not known before, or a known member started a new life. */
        JOINED("member-joined"),
        /** The routers that monitor the member no longer receive messages from it. */
        SUSPECTED("member-suspect"),
        /** A suspicion of the member was refuted. */
        CLEARED("member-cleared"),
        /** A member that had been declared failed was heard again in the same life. */
        RETURNED("member-returned"),
        /** The member was declared failed. */
        FAILED("member-failed"),
        /** The member announced its shutdown. */
        LEFT("member-left"),
        /** A member that failed or left was removed from the view after the retention period. */
        FORGOTTEN("member-forgotten"),
        /** Two running processes use the same router name. */
        TWICE("member-twice"),
        /** The reason for which this router distrusts its own view changed, appeared or disappeared. */
        DOUBT("tier-doubt"),
        /** A new member was rejected because the view has reached its maximum size. */
        FULL("tier-full");

        private final String word;

        Kind(String word) {
            this.word = word;
        }

        /** Returns the event name that is written to the log. */
        public String word() {
            return word;
        }
    }
}
