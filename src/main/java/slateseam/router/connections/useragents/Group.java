package slateseam.router.connections.useragents;

/**
 * Connections that share one fair part of the room.
 *
 * @param address where they come from
 * @param listener the number of the listener that they came to
 * @param tenant the number of the tenant of the last request; -1 before the first
 */
public record Group(Object address, int listener, int tenant) {
    /** The same place, asking for another tenant. */
    Group of(int newTenant) {
        return tenant == newTenant ? this : new Group(address, listener, newTenant);
    }
}
