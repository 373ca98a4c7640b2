package slateseam.router.membership;

/**
 * A server of the farm as membership settled it.
 *
 * @param name its identity, which is hashed to its number as the name of discovery's hosts is: the same while it moves
 *     between slices, a new one for a new pod; the same at every router
 * @param address a literal address without port or brackets
 * @param port 1 to 65535
 * @param ready whether it gets new requests; else it is draining
 * @param zone its site, by the settings' names; empty if nothing tells it
 * @param kind by the settings' label; empty if nothing tells it
 * @param weight of its share of the keys, over 0; 1 is usual
 * @param bornAtNanos its start, Unix nanoseconds; 0 is long ago
 * @param origin whether it is an origin and no application server
 * @param pod the name of its pod, for those who read; empty if nothing tells it
 * @param node the name of its node, for those who read; empty if nothing tells it
 */
public record Server(
        String name,
        String address,
        int port,
        boolean ready,
        String zone,
        String kind,
        double weight,
        long bornAtNanos,
        boolean origin,
        String pod,
        String node) {}
