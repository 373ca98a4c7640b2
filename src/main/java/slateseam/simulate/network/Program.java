package slateseam.simulate.network;

import java.io.IOException;

/** A program that lives on one selector and is run round by round, for as long as time stands still. */
public interface Program {
    /** Handles, without waiting, what its selector has ready and what is due; false if the program has ended. */
    boolean round() throws IOException;

    /**
     * When it wants a round even if no channel is ready, in Unix nanoseconds; {@link Long#MAX_VALUE} if it does not.
     */
    long nextDeadline();
}
