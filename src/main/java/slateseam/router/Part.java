package slateseam.router;

import java.io.IOException;
import java.net.InetSocketAddress;
import slateseam.router.config.NodeConfig;
import slateseam.router.control.Control;
import slateseam.router.figures.Counts;
import slateseam.router.peer.Peers;
import slateseam.router.request.RequestObserver;

/**
 * A part of a router that its settings can leave out. The router calls all that are there alike, in the order in which {@link Parts}
 * names them, and knows none of them; what a part does not need stays as it is here.
 */
interface Part {
    /** All parts are there: it begins. */
    default void begin() throws IOException {}

    /** Datagrams between routers come and go by these; null once another process speaks for this router. */
    default void talk(Peers peers) {}

    /** New settings are in force. */
    default void retune(NodeConfig changed) {}

    /** A planned end has begun: whoever calls is turned away. */
    default void close() throws IOException {}

    /** The last that is heard of this router. */
    default void stop() {}

    /** Adds what it counts to the figures. */
    default void count(Counts counts) {}

    /** Adds what is asked of it at the second address. */
    default void answer(Control calls) {}

    /** Operators have asked the process to show what it holds. */
    default void show() {}

    /** Who is told of requests that end; null for nobody. */
    default RequestObserver observer() {
        return null;
    }

    /** Where it listens; null if nowhere. */
    default InetSocketAddress address() throws IOException {
        return null;
    }
}
