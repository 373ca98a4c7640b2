package slateseam.router.pass;

import java.net.InetSocketAddress;
import slateseam.router.connections.servers.Pool;
import slateseam.router.connections.servers.ServerConnections;
import slateseam.router.farm.Farm;

/**
 * A destination of proxy passes: an application server or the origin, with the protocol spoken to it.
 *
 * @param id the number of the server in the farm
 * @param pool this router's connections to the server
 */
record ApplicationServer(long id, InetSocketAddress address, ServerProtocol protocol, Pool pool) {
    static ApplicationServer of(Farm.Entry entry, ServerConnections connections) {
        ServerProtocol protocol = entry.isOrigin() ? new HttpOrigin(entry.host()) : new RespServer();
        boolean inOrder = protocol.hasFence();
        return new ApplicationServer(entry.member().id(), entry.address(), protocol, connections.add(inOrder, inOrder));
    }
}
