package slateseam.router.connections.servers;

import java.util.Map;

/**
 * Statistics of all connections to servers. Totals count from the start of the process.
 *
 * @param opened connections that the router began to open
 * @param cameUp opened connections that were established
 * @param reused uses that were assigned to a connection that had already delivered an answer
 * @param shared uses that were written to a connection behind another outstanding use
 * @param verified answers that a fence command had to verify
 * @param closed closed connections by cause; causes that never occurred are absent
 * @param open connections that exist now, established or not
 * @param comingUp existing connections that have not delivered an answer yet
 * @param waiting uses that wait for a connection now
 */
public record Figures(
        long opened,
        long cameUp,
        long reused,
        long shared,
        long verified,
        Map<Closing, Long> closed,
        int open,
        int comingUp,
        int waiting) {}
