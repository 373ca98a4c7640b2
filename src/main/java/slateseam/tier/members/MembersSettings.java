package slateseam.tier.members;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * What one router is told of the tier at its start. Times are nanoseconds.
 *
 * @param tier the tier's name; whoever names another is a stranger
 * @param name of this router, at most {@link #LONGEST_NAME} bytes in UTF-8
 * @param number of this router among its peers
 * @param peers where the routers listen, by number, as far as one knows at the start; the own entry is not used
 * @param periodNanos between two heartbeats to the same router
 * @param watchers by how many routers each is watched
 * @param suspicionNanos how long a suspect has to answer before it counts as failed
 * @param recentNanos for so long one that has gone still counts among those of which a majority must be heard
 * @param forgetNanos after so long one that has gone is forgotten
 * @param most members, at the most
 * @param toldPlaces whether one that is not heard where the list has it is looked for where others say that it is; not where each
 *     router knows each other by an address of its own
 */
public record MembersSettings(
        String tier,
        String name,
        int number,
        List<InetSocketAddress> peers,
        long periodNanos,
        int watchers,
        long suspicionNanos,
        long recentNanos,
        long forgetNanos,
        int most,
        boolean toldPlaces) {
    /** Of a name, in bytes. */
    public static final int LONGEST_NAME = 64;
    /** As many members as one router ever keeps: four times what a tier of two thousand has, as those that have gone are remembered. */
    public static final int MOST = 8_192;

    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;

    /** Copies the list and checks the figures. */
    public MembersSettings {
        peers = List.copyOf(peers);
        int bytes = name.getBytes(java.nio.charset.StandardCharsets.UTF_8).length;
        if (bytes == 0 || bytes > LONGEST_NAME) {
            throw new IllegalArgumentException(
                    "a router's name must have 1 to " + LONGEST_NAME + " bytes, this one has " + bytes);
        }
        if (periodNanos < 10 * MILLI || watchers < 1 || most < 1 || most > MOST || number < 0) {
            throw new IllegalArgumentException("a figure of the members' settings is out of its bounds");
        }
    }

    /** The usual figures. */
    public static MembersSettings usual(String tier, String name, int number, List<InetSocketAddress> peers) {
        return new MembersSettings(
                tier, name, number, peers, 200 * MILLI, 8, 1_200 * MILLI, 60 * SECOND, 3_600 * SECOND, MOST, true);
    }
}
