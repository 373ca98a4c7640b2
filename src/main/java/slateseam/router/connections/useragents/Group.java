package slateseam.router.connections.useragents;

/**
 * Identifies connections that share one fair part of the connection limit.
 *
 * @param address the address that the connections come from
 * @param listener the number of the listener that accepted them
 * @param tenant the number of the tenant of the last request; -1 before the first
 */
public record Group(Object address, int listener, int tenant) {
    /** Returns the group of the same address and listener for another tenant. */
    Group of(int newTenant) {
        return tenant == newTenant ? this : new Group(address, listener, newTenant);
    }
}
