package slateseam.router.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

/**
 * What lies between a connection's channel and its buffers where bytes do not pass as they are, such as TLS. Every call
 * comes on the loop's thread, none waits, and an {@link IOException} ends the connection.
 */
public interface Transport {
    /**
     * The channel is up.
     *
     * @param goOn to be run on the loop's thread, as a happening of its own, when something else than the channel lets
     *     this go on
     */
    void begin(SocketChannel channel, Runnable goOn) throws IOException;

    /** Goes on with its own beginning as far as it can; whether bytes can pass now. */
    boolean open() throws IOException;

    /** Whether it waits for something else than the channel, so that the channel need not be looked at. */
    boolean waits();

    /** Puts what has come into a buffer: how many bytes, 0 if none yet, -1 at an end that the other side has told. */
    int read(ByteBuffer to) throws IOException;

    /** Whether {@link #read} may find something without the channel. */
    boolean holdsInput();

    /** Takes bytes out of a buffer to be written; how many. None are taken while the system takes nothing. */
    int write(ByteBuffer from) throws IOException;

    /** Hands what it holds to the system; whether nothing is left. */
    boolean flush() throws IOException;

    /** Whether it holds bytes that the system has not taken. */
    boolean holdsOutput();

    /** Ends the sending behind what was taken; {@link #flush} goes on with it. */
    void end() throws IOException;

    /** Tells the other side of the end, if that can be done at once; the channel is closed behind it. */
    void close();
}
