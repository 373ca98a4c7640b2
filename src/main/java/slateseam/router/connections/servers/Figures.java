package slateseam.router.connections.servers;

import java.util.Map;

/**
 * Figures of all connections to servers. Totals count from the start.
 *
 * @param opened connections that were begun
 * @param cameUp of these, those that came up
 * @param reused uses that were given a connection which had brought an answer before
 * @param shared of all uses, those that were written behind another
 * @param checked answers like the one before on their connection, for which a fence told whether they were their own
 * @param closed connections that ended, by cause; a cause that never was is missing
 * @param open connections there are now, coming up or up
 * @param comingUp of these, those that have not brought an answer yet
 * @param waiting uses that wait for a connection now
 */
public record Figures(
        long opened,
        long cameUp,
        long reused,
        long shared,
        long checked,
        Map<Closing, Long> closed,
        int open,
        int comingUp,
        int waiting) {}
