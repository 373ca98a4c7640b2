package slateseam.tier.members;

import java.net.InetSocketAddress;

/** Takes what a router is to do. */
public interface MembersPort {
    /** Send a datagram. */
    void send(InetSocketAddress to, byte[] datagram);

    /** The view has changed. */
    void changed(Change change);
}
