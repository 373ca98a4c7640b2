package slateseam.decision;

/**
 * Limits the load on cache servers that have recently started and whose cache is cold: such a server takes only a
 * fraction of its keys, which grows while the server warms up, and gets a limited rate of requests.
 */
final class SlowStart {
    /**
     * The load that all routers together may put on a cold server, as a fraction of the load at which the server falls
     * over (its current capacity times the overload factor of the site's rules).
     */
    private static final double COLD_LOAD_FRACTION = 0.5;

    private final DecisionContext context;
    private final TrafficStats traffic;

    SlowStart(DecisionContext context, TrafficStats traffic) {
        this.context = context;
        this.traffic = traffic;
    }

    /**
     * Whether a server takes a request for a key. Keys are assigned by the server's rating and warm-up, and a cold
     * server has a token bucket in addition, so that its load stays below the point at which it falls over.
     *
     * @param hash the hash by which the key was mapped to the server
     * @param maxRating the highest rating of a ready cache server
     * @param readyCaches the number of ready cache servers
     */
    boolean admits(UpstreamServer server, long hash, double maxRating, int readyCaches) {
        double warmth = warmth(server);
        double keyFraction = warmth * server.member.rating() / maxRating;
        if (JumpHash.unit(hash ^ server.id()) >= keyFraction) {
            return false;
        }
        if (warmth >= 1) {
            return true;
        }
        var rules = context.settings().rules();
        double tokensPerSecond = traffic.arrivals.perSecond()
                * warmth
                * COLD_LOAD_FRACTION
                * rules.overloadFactor()
                / Math.max(1, readyCaches);
        return server.coldBucket.take(tokensPerSecond, rules.fallNanos(), context.now());
    }

    /** Returns the fraction of its capacity that a server has by the warm-up of the site's rules; 1 once it is warm. */
    private double warmth(UpstreamServer server) {
        return context.settings().rules().warmth(server.member.upSinceNanos(), context.now());
    }
}
