package slateseam.simulate.network;

/**
 * What a network is like. Chances are between 0 and 1, times in nanoseconds, sizes in bytes.
 *
 * @param delays how long what is sent is on its way
 * @param streams how connections behave
 * @param datagrams how datagrams fare
 * @param roundNanos the least time between two rounds of one program, at least 1: what a round costs, and a guard
 *     against a program that would spin without end while time stands still
 */
public record Conditions(Delays delays, Streams streams, Datagrams datagrams, long roundNanos) {
    private static final long MICRO = 1_000;
    private static final long MILLI = 1_000_000;

    /** Checks the range. */
    public Conditions {
        check(roundNanos >= 1, "a round takes at least 1 ns");
    }

    /**
     * One-way delays. Each pair of sites has its own, drawn once; each piece of a stream has some more.
     *
     * @param leastBetween between sites, least
     * @param mostBetween between sites, most
     * @param leastInside inside a site, least
     * @param mostInside inside a site, most
     * @param local inside a machine
     * @param jitter the most by which a piece comes later, as a part of the delay
     */
    public record Delays(
            long leastBetween, long mostBetween, long leastInside, long mostInside, long local, double jitter) {
        /** Checks the ranges. */
        public Delays {
            check(
                    leastBetween >= 0
                            && leastBetween <= mostBetween
                            && leastInside >= 0
                            && leastInside <= mostInside
                            && local >= 0
                            && jitter >= 0,
                    "a range of delays is empty or negative");
        }
    }

    /**
     * Connections.
     *
     * @param sendBuffer what a system takes from a sender and has not yet brought over, at least 1
     * @param window what a system keeps for a program that does not read, at least 1
     * @param split the chance that what is sent arrives in two parts or more
     * @param gap the most time between two such parts
     * @param shortRead the chance that a read returns fewer bytes than have come
     * @param shortWrite the chance that a write takes fewer bytes than there is room for
     * @param connectLost the chance that a first packet is lost, so that a connection is up a second later
     * @param resetDestroys the chance that a reset destroys what is on its way and what has not been read; else the
     *     other side can still read it before it sees the reset
     */
    public record Streams(
            int sendBuffer,
            int window,
            double split,
            long gap,
            double shortRead,
            double shortWrite,
            double connectLost,
            double resetDestroys) {
        /** Checks the ranges. */
        public Streams {
            check(sendBuffer >= 1 && window >= 1 && gap >= 0, "a size or time is too small");
            check(
                    isChance(split)
                            && isChance(shortRead)
                            && isChance(shortWrite)
                            && isChance(connectLost)
                            && isChance(resetDestroys),
                    "a chance lies outside 0..1");
        }
    }

    /**
     * Datagrams.
     *
     * @param leastDelay on their way, least
     * @param mostDelay on their way, most
     * @param lost the chance that one is lost
     * @param swapped the chance that one does not wait for those sent before it
     * @param doubled the chance that one comes twice
     */
    public record Datagrams(long leastDelay, long mostDelay, double lost, double swapped, double doubled) {
        /** Checks the ranges. */
        public Datagrams {
            check(leastDelay >= 0 && leastDelay <= mostDelay, "a range of delays is empty or negative");
            check(isChance(lost) && isChance(swapped) && isChance(doubled), "a chance lies outside 0..1");
        }
    }

    /** Delays as between data centres, and every trouble that a healthy network makes, more often than it does. */
    public static Conditions usual() {
        return new Conditions(
                new Delays(10 * MILLI, 20 * MILLI, 100 * MICRO, 500 * MICRO, 30 * MICRO, 0.1),
                new Streams(256 * 1024, 256 * 1024, 0.1, 2 * MILLI, 0.02, 0.02, 0.0005, 0.5),
                new Datagrams(3 * MILLI, 37 * MILLI, 0.01, 0.05, 0.01),
                10 * MICRO);
    }

    /** The usual delays, and no trouble at all. */
    public static Conditions calm() {
        Conditions usual = usual();
        return usual.with(new Streams(256 * 1024, 256 * 1024, 0, 0, 0, 0, 0, 0))
                .with(new Datagrams(3 * MILLI, 37 * MILLI, 0, 0, 0));
    }

    /** The same with other delays. */
    public Conditions with(Delays other) {
        return new Conditions(other, streams, datagrams, roundNanos);
    }

    /** The same with other connections. */
    public Conditions with(Streams other) {
        return new Conditions(delays, other, datagrams, roundNanos);
    }

    /** The same with other datagrams. */
    public Conditions with(Datagrams other) {
        return new Conditions(delays, streams, other, roundNanos);
    }

    private static boolean isChance(double value) {
        return value >= 0 && value <= 1;
    }

    private static void check(boolean right, String fault) {
        if (!right) {
            throw new IllegalArgumentException(fault);
        }
    }
}
