package slateseam.router.membership;

import java.util.Map;

/**
 * How a membership reads slices, and its bounds.
 *
 * @param origin where the origin is told
 * @param preferIpv6 which address a server with one of each family is reached at
 * @param comparable whether the versions of different slices can be compared, as they can where one counter counts for
 *     all of them (as Kubernetes does); else of two views of one endpoint the one that drains holds
 * @param places how zones and nodes become sites
 * @param keys which labels and annotations are read
 * @param guard against lists that shrink too fast
 * @param bounds of what is kept
 */
public record MembershipSettings(
        Origin origin, boolean preferIpv6, boolean comparable, Places places, Keys keys, Guard guard, Bounds bounds) {
    /** No origin, IPv4, Kubernetes' versions, zones as they are, no labels, the usual guard and bounds. */
    public static final MembershipSettings USUAL = new MembershipSettings(
            Origin.NONE,
            false,
            true,
            new Places(Map.of(), Map.of()),
            new Keys(null, null, null),
            new Guard(0.4, 10_000_000_000L, 200_000_000L),
            new Bounds(1_000, 10_000, 1_024, 256));

    /**
     * Where the origin is: the endpoints of a service, or one address, or neither.
     *
     * @param service the service whose slices (by their label {@link Keys#SERVICE}) are the origin; null if none
     * @param address a literal address without port or brackets; null if none
     * @param port of that address
     */
    public record Origin(String service, String address, int port) {
        /** No origin. */
        public static final Origin NONE = new Origin(null, null, 0);
    }

    /**
     * How places become sites.
     *
     * @param zones sites by zones; a zone that is not named is a site of its own name
     * @param nodes sites by beginnings of nodes' names, the longest that fits; for endpoints that no zone is told of
     */
    public record Places(Map<String, String> zones, Map<String, String> nodes) {
        /** Copies the maps. */
        public Places {
            zones = Map.copyOf(zones);
            nodes = Map.copyOf(nodes);
        }
    }

    /**
     * The annotations, or else labels, of a slice that tell something of its servers; null where none does.
     *
     * @param kind a kind by its name
     * @param weight a number over 0, at most 1,000
     * @param start RFC 3339, or Unix milliseconds (a label cannot hold the former)
     */
    public record Keys(String kind, String weight, String start) {
        /** The label that names a slice's service. */
        public static final String SERVICE = "kubernetes.io/service-name";
    }

    /**
     * Guards against lists that shrink by mistake, and against leaving in the middle of a move.
     *
     * @param share the part of the ready servers, over 0 and at most 1, that may leave at once by being listed no more
     * @param nanos for how long beyond that share they still count
     * @param moveNanos for how long one that is listed no more still counts, as it may be on its way to another slice;
     *     to be well under the 500 ms in which a server must be left alone
     */
    public record Guard(double share, long nanos, long moveNanos) {}

    /**
     * The most that is kept.
     *
     * @param slices slices; a further one is not taken in, but what drains in it drains
     * @param servers servers; a further one is not taken in
     * @param deleted slices that were deleted, and as many times eight servers that left; the oldest is forgotten
     * @param textBytes of a name, label or annotation; a longer one counts as unset
     */
    public record Bounds(int slices, int servers, int deleted, int textBytes) {}
}
