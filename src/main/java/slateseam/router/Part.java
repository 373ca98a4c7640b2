package slateseam.router;

import java.io.IOException;
import java.net.InetSocketAddress;
import slateseam.router.config.NodeConfig;
import slateseam.router.control.Control;
import slateseam.router.figures.Counts;
import slateseam.router.peer.Peers;
import slateseam.router.request.RequestObserver;

/**
 * An optional part of a router, which the settings can turn off. The router calls the same methods of all parts, in
 * the order in which {@link Parts} adds them, and does not know their types. A part overrides only the methods that
 * it needs.
 */
interface Part {
    /** Starts the part, after all parts have been created. */
    default void begin() throws IOException {}

    /**
     * Sets what sends and receives datagrams between routers.
     *
     * @param peers null once another process of this router has taken over the messages
     */
    default void setPeers(Peers peers) {}

    /** Called when new settings have been put into force. */
    default void settingsChanged(NodeConfig changed) {}

    /** Closes the listeners of the part during a planned shutdown; new connections are refused. */
    default void close() throws IOException {}

    /** Returns whether someone still waits for an answer of the part, so that the router does not stop yet. */
    default boolean isBusy() {
        return false;
    }

    /** Called once, just before the router stops. */
    default void stop() {}

    /** Adds the counts and gauges of the part to the metrics. */
    default void addCounts(Counts counts) {}

    /** Registers the operator calls of the part at the control address. */
    default void addCalls(Control calls) {}

    /** Shows the present state of the part, on request of the operators. */
    default void show() {}

    /** Returns the observer of requests that end; null for none. */
    default RequestObserver observer() {
        return null;
    }

    /** Returns the address at which the part listens; null if it does not listen. */
    default InetSocketAddress address() throws IOException {
        return null;
    }
}
