package slateseam.simulate.network;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;

/** A machine: its address, ports, and the connections that its system knows. */
final class Machine {
    private static final int FIRST_EPHEMERAL = 32_768;
    private static final int LAST_EPHEMERAL = 60_999;

    final int number;
    final String ip;
    final InetAddress address;
    final int site;
    /** For all that is drawn for what this machine sends. */
    final UniformRandomProvider random;
    /** In the order in which they came to be. */
    final Set<End> ends = new LinkedHashSet<>();
    /** Those that have neither ended nor been killed. */
    final Set<VirtualProvider> processes = new LinkedHashSet<>();

    final Map<Integer, Listener> listeners = new TreeMap<>();
    final Map<Integer, VirtualDatagramChannel> datagrams = new TreeMap<>();
    /** When the last datagram that was sent to a machine arrives, by that machine's number. */
    final Map<Integer, Long> lastArrivals = new HashMap<>();

    boolean silent;
    private final BitSet taken = new BitSet();
    private int nextPort = FIRST_EPHEMERAL;

    Machine(int number, String ip, int site, UniformRandomProvider random) {
        this.number = number;
        this.ip = ip;
        this.site = site;
        this.random = random;
        if (!ip.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}")) {
            throw new IllegalArgumentException(ip + " is no IP address"); // a name would be looked up
        }
        try {
            this.address = InetAddress.getByName(ip);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException(ip + " is no IP address", e);
        }
    }

    /** Takes a free port of those for outgoing connections; -1 if there is none. */
    int takePort() {
        for (int i = FIRST_EPHEMERAL; i <= LAST_EPHEMERAL; i++) {
            int port = nextPort;
            nextPort = port == LAST_EPHEMERAL ? FIRST_EPHEMERAL : port + 1;
            if (!taken.get(port) && !listeners.containsKey(port) && !datagrams.containsKey(port)) {
                taken.set(port);
                return port;
            }
        }
        return -1;
    }

    /** Takes a port if nobody has it. */
    boolean takePort(int port) {
        boolean free = !taken.get(port) && !listeners.containsKey(port);
        if (free) {
            taken.set(port);
        }
        return free;
    }

    void freePort(int port) {
        taken.clear(port);
    }

    /** Whether something happens with a chance. */
    boolean draws(double chance) {
        return chance > 0 && random.nextDouble() < chance;
    }

    /** A number from 1 to {@code most}. */
    int part(int most) {
        return most <= 1 ? most : 1 + random.nextInt(most);
    }

    /** A number from 0 to {@code most}. */
    long upTo(long most) {
        return most <= 0 ? 0 : random.nextLong(most + 1);
    }
}
