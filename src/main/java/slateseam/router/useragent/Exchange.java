package slateseam.router.useragent;

import java.nio.ByteBuffer;
import java.util.List;
import slateseam.router.net.MalformedException;
import slateseam.router.request.Incoming;

/** One command, or several that belong together, and the one answer, which waits for those ahead of it. */
public abstract class Exchange {
    private final Runnable ready;
    private ByteBuffer[] answer;
    /** The value that follows the answer as it comes; null where there is none. */
    private Incoming stream;

    /** Creates one that calls back when its answer is there. */
    protected Exchange(Runnable ready) {
        this.ready = ready;
    }

    /** One that has its answer and takes no command. */
    static Exchange answered(ByteBuffer... bytes) {
        Exchange exchange = new Exchange(() -> {}) {
            @Override
            public void take(List<ByteBuffer> command) {
                throw new IllegalStateException("it is answered");
            }
        };
        exchange.answer = bytes;
        return exchange;
    }

    /**
     * Takes its first command or, while it is not whole, the next.
     *
     * @throws MalformedException if it cannot be told which of the commands behind this one belong to it
     */
    public abstract void take(List<ByteBuffer> command) throws MalformedException;

    /** Whether no further command belongs to it. */
    public boolean isWhole() {
        return true;
    }

    /** How many commands it has taken. */
    public int commands() {
        return 1;
    }

    /** The number of the tenant that asks; -1 where it is not known. */
    public int tenant() {
        return -1;
    }

    /** The user agent has left: nothing is owed any more. */
    public void withdraw() {}

    /** The answer was handed to the connection. */
    public void handedOver() {}

    /** Brings the answer. */
    protected final void finish(ByteBuffer... bytes) {
        answer = bytes;
        ready.run();
    }

    /** Brings the beginning of the answer; the value behind it is on its way. */
    protected final void finish(Incoming value, ByteBuffer head) {
        stream = value;
        finish(head);
    }

    /** The value that follows the answer as it comes; null where there is none. */
    final Incoming stream() {
        return stream;
    }

    /** The answer; null while it is not there. */
    public final ByteBuffer[] answer() {
        return answer;
    }
}
