package slateseam.standin;

/**
 * Discovery's agents.
 *
 * @param spreadNanos each agent hears of a change later than discovery by up to so much
 * @param movedNanos so long after an agent has moved, its old address ends the connections that are still open there
 * @param alwaysWhole whether a watch that has changes to tell answers with the whole list
 */
public record DiscoveryFigures(long spreadNanos, long movedNanos, boolean alwaysWhole) {
    /** Checks the figures. */
    public DiscoveryFigures {
        Range.span("spread of changes", spreadNanos);
        Range.span("time to the end of moved connections", movedNanos);
    }

    /** A spread of 0.3 s, and 1.5 s after a move. */
    public static DiscoveryFigures usual() {
        return new DiscoveryFigures(300_000_000L, 1_500_000_000L, false);
    }
}
