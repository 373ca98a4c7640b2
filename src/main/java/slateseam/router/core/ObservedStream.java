package slateseam.router.core;

import java.nio.ByteBuffer;
import java.util.function.Consumer;
import slateseam.router.request.Ending;
import slateseam.router.request.Incoming;

/**
 * A long value on its way to its user agent that tells once how it ended. Guards the figures against counting as served what
 * is cut later: whether a long answer succeeds is known at its end alone.
 */
final class ObservedStream implements Incoming, Incoming.Taker {
    private final Incoming value;
    private final Ending whole;
    private Consumer<Ending> ended;
    private Taker taker;

    /**
     * Creates it.
     *
     * @param whole how the request has ended once all has come
     * @param ended is told how it has ended
     */
    ObservedStream(Incoming value, Ending whole, Consumer<Ending> ended) {
        this.value = value;
        this.whole = whole;
        this.ended = ended;
    }

    private void end(Ending ending) {
        Consumer<Ending> told = ended;
        ended = null;
        if (told != null) {
            told.accept(ending);
        }
    }

    @Override
    public int length() {
        return value.length();
    }

    @Override
    public void to(Taker by) {
        taker = by;
        value.to(this);
    }

    @Override
    public void more() {
        value.more();
    }

    @Override
    public void stop() {
        end(Ending.LEFT);
        value.stop();
    }

    @Override
    public void bytes(ByteBuffer bytes) {
        taker.bytes(bytes);
    }

    @Override
    public boolean wantsMore() {
        return taker.wantsMore();
    }

    @Override
    public void whole() {
        end(whole);
        taker.whole();
    }

    @Override
    public void cut() {
        end(Ending.FAILED);
        taker.cut();
    }
}
