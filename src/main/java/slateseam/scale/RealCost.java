package slateseam.scale;

import java.io.IOException;
import java.util.EnumMap;
import java.util.Map;
import slateseam.router.net.Clock;

/** What one real router spends between two moments. */
final class RealCost {
    /** The system's name of the thread that carries a router's loop. */
    private static final String LOOP_THREAD = "java";

    private final RealRouter router;
    private final Impairments.DatagramCounts counts;
    private final Clock clock;
    private final ProcessCost before;
    private final long since;
    private final Map<Protocol, Long> bytes = new EnumMap<>(Protocol.class);
    private final Map<Protocol, Long> datagrams = new EnumMap<>(Protocol.class);
    private ProcessCost after;
    private double seconds;

    /** Begins. */
    RealCost(RealRouter router, Impairments.DatagramCounts counts, Clock clock) throws IOException {
        this.router = router;
        this.counts = counts;
        this.clock = clock;
        for (Protocol protocol : Protocol.values()) {
            bytes.put(protocol, -bytes(protocol));
            datagrams.put(protocol, -datagrams(protocol));
        }
        before = ProcessCost.of(router.child().pid(), LOOP_THREAD::equals);
        since = clock.nanos();
    }

    private long bytes(Protocol protocol) {
        return counts.bytes(true, protocol) + counts.bytes(false, protocol);
    }

    private long datagrams(Protocol protocol) {
        return counts.datagrams(true, protocol) + counts.datagrams(false, protocol);
    }

    /** Ends. */
    void end() throws IOException {
        seconds = (clock.nanos() - since) / 1e9;
        after = ProcessCost.of(router.child().pid(), LOOP_THREAD::equals);
        for (Protocol protocol : Protocol.values()) {
            bytes.merge(protocol, bytes(protocol), Long::sum);
            datagrams.merge(protocol, datagrams(protocol), Long::sum);
        }
    }

    String name() {
        return router.name();
    }

    double seconds() {
        return seconds;
    }

    /** For how long its loop could have run and had no processor. */
    long delayNanos() {
        return after.longestDelaySince(before);
    }

    /** Percent of a core. */
    double cpu() {
        return (after.cpuNanos() - before.cpuNanos()) / 1e7 / seconds;
    }

    /** Megabytes resident at the end. */
    double memory() {
        return after.residentBytes() / 1e6;
    }

    /** Sent and received together, a second; the payload alone. */
    double bytesASecond(Protocol protocol) {
        return bytes.get(protocol) / seconds;
    }

    double datagramsASecond(Protocol protocol) {
        return datagrams.get(protocol) / seconds;
    }
}
