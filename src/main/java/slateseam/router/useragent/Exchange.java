package slateseam.router.useragent;

import java.nio.ByteBuffer;
import java.util.List;
import slateseam.router.net.MalformedException;
import slateseam.router.request.Incoming;

/**
 * One command of a user agent, or several that belong together, with their single answer. The answer is sent after
 * the answers of all earlier exchanges of the connection.
 */
public abstract class Exchange {
    /** The connection that carries an exchange, between other exchanges. */
    public interface Pipeline {
        /** Called when the answer of an exchange has become available. */
        void answered();

        /**
         * Reserves memory for an answer until it has been sent; returns false if there is no room for it.
         *
         * @param bytes the size of the answer, or of a further part of it
         */
        boolean reserve(Exchange exchange, long bytes);

        /** Looks for the user agent; returns false if it has left, or if that cannot be excluded. */
        boolean isPresent();
    }

    private final Pipeline pipeline;
    private ByteBuffer[] answer;
    private long reservedBytes;
    /** When the user agent stops waiting for the answer, on the loop's clock, in nanoseconds. */
    private long dueAt;
    /** The streamed value that follows the answer; null if there is none. */
    private Incoming stream;

    /** Creates an exchange that is carried by the given connection. */
    protected Exchange(Pipeline pipeline) {
        this.pipeline = pipeline;
    }

    /** Returns an exchange that already has its answer and takes no command. */
    static Exchange answered(Pipeline pipeline, ByteBuffer... bytes) {
        Exchange exchange = new Exchange(pipeline) {
            @Override
            public void take(List<ByteBuffer> command) {
                throw new IllegalStateException("exchange is already answered");
            }
        };
        exchange.answer = bytes;
        return exchange;
    }

    /**
     * Takes the first command of the exchange or, until {@link #isWhole}, the next one.
     *
     * @throws MalformedException if it cannot be determined which of the following commands belong to this exchange
     */
    public abstract void take(List<ByteBuffer> command) throws MalformedException;

    /** Returns whether all commands of the exchange have been taken. */
    public boolean isWhole() {
        return true;
    }

    /** Returns how many commands the exchange has taken. */
    public int commands() {
        return 1;
    }

    /** Returns the number of the requesting tenant; -1 if it is not known. */
    public int tenant() {
        return -1;
    }

    /** Returns how long the user agent waits for the answer, in nanoseconds; 0 if it has not said so. */
    public long waitNanos() {
        return 0;
    }

    /** Called when no answer is wanted any more, because the user agent has left or the connection is ending. */
    public void withdraw() {}

    /** Called when the whole answer has been handed to the connection. */
    public void handedOver() {}

    /** Reserves memory for an answer, or a part of it, until it has been sent; returns false if there is no room. */
    protected final boolean reserve(long bytes) {
        boolean room = pipeline.reserve(this, bytes);
        reservedBytes += room ? bytes : 0;
        return room;
    }

    /** Sets when the user agent stops waiting for the answer, on the loop's clock, in nanoseconds. */
    final void setDueAt(long at) {
        dueAt = at;
    }

    /** Returns when the user agent stops waiting for the answer, on the loop's clock, in nanoseconds. */
    final long dueAt() {
        return dueAt;
    }

    /** Returns false if the user agent has left, or if that cannot be excluded. */
    protected final boolean isUserAgentPresent() {
        return pipeline.isPresent();
    }

    /** Gives up a part of what was reserved. */
    final void release(long bytes) {
        reservedBytes -= bytes;
    }

    /** Gives up what was reserved; returns the number of bytes. */
    final long release() {
        long released = reservedBytes;
        reservedBytes = 0;
        return released;
    }

    /** Sets the answer and reports that it is available. */
    protected final void finish(ByteBuffer... bytes) {
        answer = bytes;
        pipeline.answered();
    }

    /** Sets the head of the answer, which a streamed value follows, and reports that it is available. */
    protected final void finish(Incoming value, ByteBuffer head) {
        stream = value;
        finish(head);
    }

    /** Returns the streamed value that follows the answer; null if there is none. */
    final Incoming stream() {
        return stream;
    }

    /** Returns the answer, or its head if a streamed value follows; null until it is available. */
    public final ByteBuffer[] answer() {
        return answer;
    }
}
