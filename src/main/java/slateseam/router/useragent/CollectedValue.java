package slateseam.router.useragent;

import java.nio.ByteBuffer;
import slateseam.router.request.Incoming;

/** Collects a streamed value, which is to be sent only when it is whole. */
final class CollectedValue implements Incoming.Taker {
    private final ByteBuffer value;
    private final Runnable ended;
    private boolean whole;
    private boolean broken;

    /** Creates an empty one; {@code ended} runs when the value is whole or has broken off. */
    CollectedValue(int length, Runnable ended) {
        this.value = ByteBuffer.allocate(length);
        this.ended = ended;
    }

    /** Returns the value; null while it is not whole. */
    ByteBuffer value() {
        return whole ? value : null;
    }

    /** Returns whether the value has broken off. */
    boolean isBroken() {
        return broken;
    }

    @Override
    public void bytes(ByteBuffer bytes) {
        value.put(bytes);
    }

    @Override
    public boolean wantsMore() {
        return true;
    }

    @Override
    public void whole() {
        value.flip();
        whole = true;
        ended.run();
    }

    @Override
    public void cut() {
        broken = true;
        ended.run();
    }
}
