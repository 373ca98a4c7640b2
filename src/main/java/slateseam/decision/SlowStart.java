package slateseam.decision;

/** Holds cold cache servers to the part of the work that they are due. */
final class SlowStart {
    /** Of the stated multiple of its capacity: the load that a cold server may get from all routers. */
    private static final double COLD_PART = 0.5;

    private final DecisionContext context;
    private final TrafficStats traffic;

    SlowStart(DecisionContext context, TrafficStats traffic) {
        this.context = context;
        this.traffic = traffic;
    }

    /** Guards against pushing over a cold server: it gets the keys it is due, by rating, on a budget. */
    boolean admits(UpstreamServer server, long hash, double topRating, int readyCaches) {
        double warmth = warmth(server);
        double due = warmth * server.member.rating() / topRating;
        if (JumpHash.unit(hash ^ server.id()) >= due) {
            return false;
        }
        if (warmth >= 1) {
            return true;
        }
        var rules = context.settings().rules();
        double rate =
                traffic.arrivals.perSecond() * warmth * COLD_PART * rules.overloadFactor() / Math.max(1, readyCaches);
        return server.coldBucket.take(rate, rules.fallNanos(), context.now());
    }

    /** The stated warm-up: the part of its work that a starting server is due. */
    private double warmth(UpstreamServer server) {
        return context.settings().rules().warmth(server.member.upSinceNanos(), context.now());
    }
}
