package slateseam.router.connections.servers;

/**
 * Moving averages of the time that a server needs to answer on a used connection, and of the additional cost of a
 * new connection, in nanoseconds.
 */
final class LatencyEstimates {
    /** The weight of a new sample in the moving averages. */
    private static final double WEIGHT = 0.1;
    /** The answer time in nanoseconds that is assumed before the first measurement. */
    private static final double INITIAL_ANSWER_NANOS = 10e6;

    private static final double INITIAL_COST_NANOS = 20e6;
    /**
     * The minimum cost in nanoseconds: a connection costs descriptors and work even where the handshake takes no
     * time.
     */
    private static final double MIN_COST_NANOS = 100e3;

    private final LatencyEstimates others;
    private double answer;
    private double cost;

    /**
     * Creates empty averages. Values not measured yet are taken from {@code others}, the averages of the whole farm;
     * null if there are none.
     */
    LatencyEstimates(LatencyEstimates others) {
        this.others = others;
    }

    void answered(long nanos) {
        answer += (answer == 0 ? 1 : WEIGHT) * (nanos - answer);
        if (others != null) {
            others.answered(nanos);
        }
    }

    /** Records the time in nanoseconds from the start of connecting to the first answer. */
    void firstAnswered(long nanos) {
        double sample = Math.max(MIN_COST_NANOS, nanos - answer());
        cost += (cost == 0 ? 1 : WEIGHT) * (sample - cost);
        if (others != null) {
            others.firstAnswered(nanos);
        }
    }

    double answer() {
        return answer > 0 ? answer : others != null ? others.answer() : INITIAL_ANSWER_NANOS;
    }

    double cost() {
        return cost > 0 ? cost : others != null ? others.cost() : INITIAL_COST_NANOS;
    }
}
