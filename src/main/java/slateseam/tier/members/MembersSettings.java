package slateseam.tier.members;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The membership settings of one router. Durations are nanoseconds.
 *
 * @param tier the name of the tier; datagrams of routers with another tier name are dropped
 * @param name the name of this router, 1 to {@link #LONGEST_NAME} bytes in UTF-8
 * @param number the number of this router in the list of peers
 * @param peers the addresses of the routers by number, as known at the start; the entry of this router is not used
 * @param periodNanos the time between two heartbeats to the same router
 * @param watchers the number of routers that monitor each member
 * @param suspicionNanos the time that a suspect has for a refutation before it is declared failed
 * @param recentNanos the time for which a failed member still counts among the members of which a majority must be
 *     heard
 * @param forgetNanos the time after which a member that failed or left is removed from the view
 * @param most the maximum number of other members in the view
 * @param toldPlaces whether a member that is not heard at its configured address is also contacted at the address
 *     that other members report; false where each router reaches the others at addresses of its own
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
    /** The maximum length of a router name in bytes of UTF-8. */
    public static final int LONGEST_NAME = 64;
    /**
     * The upper limit of {@link #most}: four times the size of a tier of two thousand routers, because members that
     * failed or left stay in the view until they are forgotten.
     */
    public static final int MOST = 8_192;

    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;

    /** Copies the list of peers and validates the values. */
    public MembersSettings {
        peers = List.copyOf(peers);
        int bytes = name.getBytes(java.nio.charset.StandardCharsets.UTF_8).length;
        if (bytes == 0 || bytes > LONGEST_NAME) {
            throw new IllegalArgumentException(
                    "a router's name must have 1 to " + LONGEST_NAME + " bytes, this one has " + bytes);
        }
        if (periodNanos < 10 * MILLI || watchers < 1 || most < 1 || most > MOST || number < 0) {
            throw new IllegalArgumentException("membership settings out of range: period " + periodNanos
                    + " ns, watchers " + watchers + ", most " + most + ", number " + number);
        }
    }

    /**
     * Returns the default settings: a heartbeat period of 200 ms, 8 monitors per member, 1.2 s to refute a suspicion,
     * 60 s in which failed members count towards the majority, and 1 h until members that failed or left are
     * forgotten.
     */
    public static MembersSettings usual(String tier, String name, int number, List<InetSocketAddress> peers) {
        return new MembersSettings(
                tier, name, number, peers, 200 * MILLI, 8, 1_200 * MILLI, 60 * SECOND, 3_600 * SECOND, MOST, true);
    }
}
