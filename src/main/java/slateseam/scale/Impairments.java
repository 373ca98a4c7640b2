package slateseam.scale;

import java.net.SocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLongArray;

/** What befalls datagrams between routers now, and how many came from and to each real one. Any thread may call. */
final class Impairments {
    private static final int NOBODY = -1;

    private final Map<SocketAddress, Integer> numbers = new ConcurrentHashMap<>();
    private final Map<Integer, Long> delays = new ConcurrentHashMap<>();
    private final Map<Integer, DatagramCounts> counted = new ConcurrentHashMap<>();
    private volatile double lost;
    /** Routers below this number and the others hear nothing of each other; 0 for no such cut. */
    private volatile int boundary;

    /** Datagrams and bytes of payload by protocol, sent and received. */
    static final class DatagramCounts {
        private final AtomicLongArray datagrams = new AtomicLongArray(2 * Protocol.values().length);
        private final AtomicLongArray bytes = new AtomicLongArray(2 * Protocol.values().length);

        private void add(boolean sent, byte first, int length) {
            int place = place(sent, Protocol.of(first));
            datagrams.incrementAndGet(place);
            bytes.addAndGet(place, length);
        }

        private static int place(boolean sent, Protocol protocol) {
            return 2 * protocol.ordinal() + (sent ? 1 : 0);
        }

        long datagrams(boolean sent, Protocol protocol) {
            return datagrams.get(place(sent, protocol));
        }

        long bytes(boolean sent, Protocol protocol) {
            return bytes.get(place(sent, protocol));
        }
    }

    /** A router has this address for datagrams. */
    void at(int router, SocketAddress address) {
        numbers.put(address, router);
    }

    /** Counts what this router sends and receives. */
    void count(int router) {
        counted.put(router, new DatagramCounts());
    }

    DatagramCounts counts(int router) {
        return counted.get(router);
    }

    int number(SocketAddress address) {
        return numbers.getOrDefault(address, NOBODY);
    }

    /** Loses this part of all datagrams. */
    void lose(double share) {
        lost = share;
    }

    /** Cuts the routers below a number from the others; 0 heals that. */
    void cut(int below) {
        boundary = below;
    }

    /** What this hollow router sends leaves so much later; 0 for at once. */
    void delay(int router, long nanos) {
        if (nanos == 0) {
            delays.remove(router);
        } else {
            delays.put(router, nanos);
        }
    }

    long delayNanos(int router) {
        return delays.getOrDefault(router, 0L);
    }

    /** Counts a datagram, and tells whether it passes. */
    boolean passes(int from, int to, byte first, int length) {
        count(from, true, first, length);
        boolean passes = from == NOBODY || to == NOBODY || (from < boundary) == (to < boundary);
        passes &= lost == 0 || ThreadLocalRandom.current().nextDouble() >= lost;
        if (passes) {
            count(to, false, first, length);
        }
        return passes;
    }

    /** Counts a datagram between two real routers, of which the links between them decide whether it passes. */
    void between(int from, int to, byte first, int length, boolean passes) {
        count(from, true, first, length);
        if (passes) {
            count(to, false, first, length);
        }
    }

    private void count(int router, boolean sent, byte first, int length) {
        DatagramCounts counts = counted.get(router);
        if (counts != null) {
            counts.add(sent, first, length);
        }
    }
}
