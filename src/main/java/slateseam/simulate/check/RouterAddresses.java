package slateseam.simulate.check;

import java.util.List;

/**
 * Where a router stands, as text; an address is "10.0.3.1:6379".
 *
 * @param router its name
 * @param machine its machine's address, without a port
 * @param listen where user agents connect
 * @param peerListen where datagrams arrive and leave; null where there are none
 * @param agents where discovery may be, for this router alone
 */
public record RouterAddresses(String router, String machine, String listen, String peerListen, List<String> agents) {
    /** Copies the list. */
    public RouterAddresses {
        agents = List.copyOf(agents);
    }
}
