package slateseam.standin;

/**
 * An application server.
 *
 * @param cores 1 to 256
 * @param speed of a core, 0.01 to 100; the yardstick is 1
 * @param slots requests in work at once, 1 to 4,096; those beyond the cores share them evenly
 * @param waitingRoom requests that wait for a slot, 0 to 65,536; what comes beyond is answered -BUSY unseen
 * @param crowding how efficiency falls
 * @param cold how it starts
 * @param connections what it takes and what they cost
 * @param keeping what it stores
 * @param probing what probes get
 * @param stopsCancelled whether a read in work stops when its connection goes or its time is over; waiting ones
 *     always go
 * @param dropsOverdue whether work is dropped when the time that the request tells (d) is over
 * @param carriesWrites whether it carries out writes itself; else they are answered as misses, and go to the origin
 * @param errorShare the share of requests that end in -ERR after their work, 0 to 1
 */
public record ServerFigures(
        int cores,
        double speed,
        int slots,
        int waitingRoom,
        Crowding crowding,
        Cold cold,
        Connections connections,
        Keeping keeping,
        Probing probing,
        boolean stopsCancelled,
        boolean dropsOverdue,
        boolean carriesWrites,
        double errorShare) {

    /** What becomes of a connection beyond the cap. */
    public enum Beyond {
        /** It is refused: nothing listens while the table is full. */
        REFUSED,
        /** It comes up and is reset at once. */
        RESET,
        /** It comes up, and what is asked on it is answered -BUSY; beyond twice the cap it is reset. */
        BUSY
    }

    /**
     * How efficiency falls with what a server holds, in slots and waiting.
     *
     * @param from so many requests a core cost nothing, 0 to 1,000
     * @param loss each further one a core makes all work take longer by this part, 0 to 10
     */
    public record Crowding(double from, double loss) {
        /** Checks the figures. */
        public Crowding {
            Range.check("crowding from", from, 0, 1000);
            Range.check("crowding loss", loss, 0, 10);
        }
    }

    /**
     * How a server starts.
     *
     * @param share of its capacity that it has at once, 0.01 to 1
     * @param warmNanos after which it has all, evenly rising until then; up to an hour
     * @param fallMultiple while it is cold, work sent within the window beyond this multiple of what it can do at the
     *     moment makes it fall over: 1 to 1,000, or 0 for never
     * @param fallNanos the window
     */
    public record Cold(double share, long warmNanos, double fallMultiple, long fallNanos) {
        /** The multiple of a server that does not fall, whatever it is sent. */
        public static final double NEVER_FALLS = 0;

        /** Checks the figures. */
        public Cold {
            Range.check("cold share", share, 0.01, 1);
            Range.span("time to warm up", warmNanos);
            if (fallMultiple != 0) {
                Range.check("multiple at which a cold server falls", fallMultiple, 1, 1000);
            }
            Range.span("window in which a cold server falls", fallNanos);
        }
    }

    /**
     * Connections.
     *
     * @param most open at once, 1 to 65,536
     * @param beyond what becomes of further ones
     * @param openSeconds work of a new one, in core seconds at speed 1, 0 to 10; done beside the slots
     * @param firstNanos how much later than that the first request on it begins
     * @param idleNanos after so long without a request it is closed
     * @param requests begun at once on one, 1 to 4,096; further ones stay unread
     * @param tax the part of the capacity that a full table of connections takes, 0 to 0.9
     */
    public record Connections(
            int most, Beyond beyond, double openSeconds, long firstNanos, long idleNanos, int requests, double tax) {
        /** Checks the figures. */
        public Connections {
            Range.check("most connections", most, 1, 65_536);
            Range.check("work of a new connection", openSeconds, 0, 10);
            Range.span("delay of the first request", firstNanos);
            Range.span("idle time of connections", idleNanos);
            Range.check("requests begun at once on a connection", requests, 1, 4_096);
            Range.check("tax of a full table", tax, 0, 0.9);
        }
    }

    /**
     * What a server stores. What was used longest ago goes first.
     *
     * @param bytes of values kept, 0 to 16 GiB
     * @param entries kept, 0 to 10 million
     * @param lifeNanos after which a copy is void, up to an hour; 0 for never
     * @param tellsPending whether a miss while another fetch of the key is out is told as such
     * @param fetchNanos after so long a fetch that nobody stored counts as out no more
     * @param missShare the part of a read's work that a miss costs, 0 to 1
     */
    public record Keeping(
            long bytes, int entries, long lifeNanos, boolean tellsPending, long fetchNanos, double missShare) {
        /** Checks the figures. */
        public Keeping {
            Range.check("bytes kept", bytes, 0, 1L << 34);
            Range.check("entries kept", entries, 0, 10_000_000);
            Range.span("life of copies", lifeNanos);
            Range.span("time of a fetch", fetchNanos);
            Range.share("work of a miss", missShare);
        }
    }

    /**
     * Probes and reports.
     *
     * @param allowed whether probes are; if so they wait and cost as requests do, else PING tells nothing
     * @param seconds work of a probe, in core seconds at speed 1, 0 to 1
     * @param reports whether answers carry a load report
     */
    public record Probing(boolean allowed, double seconds, boolean reports) {
        /** Checks the figures. */
        public Probing {
            Range.check("work of a probe", seconds, 0, 1);
        }
    }

    /** Checks the figures. */
    public ServerFigures {
        Range.check("cores", cores, 1, 256);
        Range.check("speed", speed, 0.01, 100);
        Range.check("slots", slots, 1, 4_096);
        Range.check("waiting room", waitingRoom, 0, 65_536);
        Range.share("share of errors", errorShare);
    }

    /** What the machine can do when warm and not crowded, in core seconds at speed 1 a second. */
    public double capacity() {
        return cores * speed;
    }

    /** The larger of two usual kinds. */
    public static ServerFigures large() {
        return usual(3, 0.95, 6, 105, 110);
    }

    /** The smaller of two usual kinds. */
    public static ServerFigures small() {
        return usual(2, 0.6, 6, 70, 80);
    }

    private static ServerFigures usual(int cores, double speed, int waitingRoom, int connections, int entries) {
        long milli = 1_000_000;
        return new ServerFigures(
                cores,
                speed,
                cores,
                waitingRoom,
                new Crowding(3, 0.05),
                new Cold(0.4, 6_000 * milli, 3, 2_000 * milli),
                new Connections(connections, Beyond.REFUSED, 0.015, 2 * milli, 60_000 * milli, 100, 0.2),
                new Keeping(4L << 20, entries, 0, true, 600 * milli, 0.5),
                new Probing(true, 0.0001, false),
                true,
                true,
                false,
                0.0005);
    }
}
