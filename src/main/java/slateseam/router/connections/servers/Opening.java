package slateseam.router.connections.servers;

/** When a further connection to a server is worth its price, and how many may come up at once. */
final class Opening {
    /** Handshakes at one server: several at once cost those of other routers, and the work that goes on there. */
    private static final int FIRST_YOUNG = 8;

    private static final int MOST_YOUNG = 16;
    /** Where each use needs a connection of its own, waiting for an answer costs more than handshakes do. */
    private static final int UNSHARED_YOUNG = 32;

    private static final int LEAST_YOUNG = 2;
    /** A first answer within so many of its usual times tells that the server can bear another handshake beside it. */
    private static final double QUICK = 1.5;

    private static final double SLOW = 2.5;
    /** Waiting is forgotten by half in that time: about as long as a connection may stand idle for its price. */
    private static final double HALF_NANOS = 2e9;
    /** After a refusal one more connection is tried for each such time. */
    private static final long RAISE_NANOS = 100_000_000L;

    private final int mostYoung;
    private int young;
    private double rent;
    private long rentAt;
    private int most = Integer.MAX_VALUE;
    private long mostAt;

    /** Creates it; {@code patient} where uses can stand behind others meanwhile. */
    Opening(boolean patient) {
        mostYoung = patient ? MOST_YOUNG : UNSHARED_YOUNG;
        young = patient ? FIRST_YOUNG : UNSHARED_YOUNG;
    }

    /** A use waited so long, or was held up so long by the one ahead, for want of a further connection. */
    void waited(long now, double nanos) {
        rent = rent(now) + nanos;
        rentAt = now;
    }

    private double rent(long now) {
        return rent * Math.pow(0.5, (now - rentAt) / HALF_NANOS);
    }

    /** Waiting has cost as much as a connection would; counted from anew once this was true. */
    boolean isPaid(long now, double price) {
        if (rent == 0 || rent(now) < price) {
            return false;
        }
        rent = 0;
        return true;
    }

    /** How many connections may be without a first answer. */
    int young() {
        return young;
    }

    /** How many connections the server is held to take. */
    int most(long now) {
        long raised = (now - mostAt) / RAISE_NANOS;
        return raised > Integer.MAX_VALUE - (long) most ? Integer.MAX_VALUE : most + (int) raised;
    }

    void firstAnswered(double took, double usual) {
        if (took < QUICK * usual) {
            young = Math.min(mostYoung, young + 1);
        } else if (took > SLOW * usual) {
            young = Math.max(LEAST_YOUNG, young / 2);
        }
    }

    /** A connection never came up while so many others were up: the server has room for no more just now. */
    void refused(long now, int up) {
        young = Math.max(LEAST_YOUNG, young / 2);
        if (up > 0) {
            most = up;
            mostAt = now;
        }
    }
}
