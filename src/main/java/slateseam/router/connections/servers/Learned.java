package slateseam.router.connections.servers;

/** How long a server takes for an answer on a used connection, and what a new connection costs beyond that. */
final class Learned {
    private static final double WEIGHT = 0.1;
    /** Taken before anything is known. */
    private static final double FIRST_ANSWER = 10e6;

    private static final double FIRST_PRICE = 20e6;
    /** A connection costs descriptors and work even where the handshake takes no time. */
    private static final double LEAST_PRICE = 100e3;

    private final Learned others;
    private double answer;
    private double price;

    /** Creates an empty one; what it lacks is taken from that of the whole farm, or null. */
    Learned(Learned others) {
        this.others = others;
    }

    void answered(long nanos) {
        answer += (answer == 0 ? 1 : WEIGHT) * (nanos - answer);
        if (others != null) {
            others.answered(nanos);
        }
    }

    /** The first answer on a new connection came so long after the connection was begun. */
    void firstAnswered(long nanos) {
        double sample = Math.max(LEAST_PRICE, nanos - answer());
        price += (price == 0 ? 1 : WEIGHT) * (sample - price);
        if (others != null) {
            others.firstAnswered(nanos);
        }
    }

    double answer() {
        return answer > 0 ? answer : others != null ? others.answer() : FIRST_ANSWER;
    }

    double price() {
        return price > 0 ? price : others != null ? others.price() : FIRST_PRICE;
    }
}
