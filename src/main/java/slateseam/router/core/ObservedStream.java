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
    private final Ending endingIfComplete;
    private Consumer<Ending> onEnd;
    private Taker taker;

    /**
     * Wraps a streamed value.
     *
     * @param endingIfComplete the ending of the request if the value is transferred completely
     * @param onEnd called once with the ending of the request
     */
    ObservedStream(Incoming value, Ending endingIfComplete, Consumer<Ending> onEnd) {
        this.value = value;
        this.endingIfComplete = endingIfComplete;
        this.onEnd = onEnd;
    }

    private void reportOnce(Ending ending) {
        Consumer<Ending> listener = onEnd;
        onEnd = null;
        if (listener != null) {
            listener.accept(ending);
        }
    }

    @Override
    public int length() {
        return value.length();
    }

    @Override
    public boolean to(Taker receiver) {
        taker = receiver;
        boolean started = value.to(this);
        if (!started) {
            reportOnce(Ending.FAILED);
        }
        return started;
    }

    @Override
    public void more() {
        value.more();
    }

    @Override
    public void stop(Ending why) {
        reportOnce(why);
        value.stop(why);
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
        reportOnce(endingIfComplete);
        taker.whole();
    }

    @Override
    public void cut() {
        reportOnce(Ending.FAILED);
        taker.cut();
    }
}
