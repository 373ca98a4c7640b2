package slateseam.router.request;

import java.nio.ByteBuffer;

/**
 * A value of known length that is being streamed from a server. The value is never buffered as a whole: its bytes
 * arrive only as fast as the taker accepts them.
 */
public interface Incoming {
    /** Receives the bytes of a streamed value. */
    interface Taker {
        /** Receives the next bytes. The buffer is not valid after this method returns. */
        void bytes(ByteBuffer bytes);

        /** Returns whether the taker accepts more bytes now; if not, it calls {@link Incoming#more} once it does. */
        boolean wantsMore();

        /** Called when all bytes have been received. */
        void whole();

        /** Called when the transfer was aborted; the remaining bytes will not be received. */
        void cut();
    }

    /** Returns the total length in bytes. */
    int length();

    /**
     * Starts the transfer to a taker; no bytes are delivered before this call has returned. Returns false if the value
     * has broken off already, so that nothing of it will come.
     */
    boolean to(Taker taker);

    /** Resumes the transfer; the taker calls this when it accepts bytes again. */
    void more();

    /** Aborts the transfer, because its bytes are no longer wanted; the request ends as given. */
    void stop(Ending why);
}
