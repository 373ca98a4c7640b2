package slateseam.router.request;

import java.nio.ByteBuffer;

/** A long value on its way from a server, of known length: it comes as fast as its taker takes it, and is held nowhere. */
public interface Incoming {
    /** Who takes it. */
    interface Taker {
        /** The next bytes; used up when this returns. */
        void bytes(ByteBuffer bytes);

        /** Whether more can be taken now; if not, {@link Incoming#more} tells when. */
        boolean wantsMore();

        /** All has come. */
        void whole();

        /** The rest will not come. */
        void cut();
    }

    /** How many bytes it has in all. */
    int length();

    /** Begins to bring it; nothing comes before. */
    void to(Taker taker);

    /** The taker can take more. */
    void more();

    /** Nobody takes it any more. */
    void stop();
}
