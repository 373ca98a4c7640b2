package slateseam.tier.members;

import java.net.InetSocketAddress;

/** Receives the actions of {@link Members}: datagrams to send and changes of the view. */
public interface MembersPort {
    /** Sends a datagram. */
    void send(InetSocketAddress to, byte[] datagram);

    /** Reports a change of the view. */
    void changed(Change change);
}
