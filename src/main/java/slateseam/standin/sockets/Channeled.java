package slateseam.standin.sockets;

import java.io.IOException;
import java.nio.ByteBuffer;

/** What reads and writes the bytes of a connection: as they are, or through TLS. */
interface Channeled {
    /** Brings the connection up as far as it gets; true once bytes of the party may be passed. */
    boolean handshake() throws IOException;

    /** Reads some bytes of the other party; 0 if there are none now, -1 at their end. */
    int read(ByteBuffer into) throws IOException;

    /** Writes what the system takes, in order; returns how many bytes of the buffers were taken. */
    long write(ByteBuffer[] buffers, int count) throws IOException;

    /** Whether bytes that were taken still wait for the system. */
    boolean isBehind();

    /** Ends the sending once nothing is behind; false while something is. */
    boolean end() throws IOException;
}
