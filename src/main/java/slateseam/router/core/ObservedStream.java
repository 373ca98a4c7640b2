package slateseam.router.core;

import java.nio.ByteBuffer;
import java.util.function.Consumer;
import slateseam.router.request.Ending;
import slateseam.router.request.Incoming;

/**
 * A streamed value that reports once how its transfer to the user agent ended. Whether a streamed answer succeeds is
 * known only at its end, so metrics must not count it as served when it starts.
 */
final class ObservedStream implements Incoming, Incoming.Taker {
    private final Incoming value;
    private final Ending whole;
    private Consumer<Ending> ended;
    private Taker taker;

    /**
     * Wraps a streamed value.
     *
     * @param whole the ending of the request if the value is transferred completely
     * @param ended called once with the ending of the request
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
