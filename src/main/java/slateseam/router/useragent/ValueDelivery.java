package slateseam.router.useragent;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import slateseam.router.net.Clock;
import slateseam.router.net.Deadlines.Deadline;
import slateseam.router.net.Loop;
import slateseam.router.request.Incoming;

/**
 * Delivers the streamed value of an exchange whose turn has come. A value behind which commands have been read is
 * collected first as far as there is room, because the connection has to end without their answers if a value breaks off
 * of which a part has been sent. It is held back only for a limited time. Every other value is passed on as it comes.
 */
final class ValueDelivery implements Incoming.Taker {
    /** The connection that a value is delivered to. */
    interface Receiver {
        /** Sends bytes behind those that were sent before. */
        void send(ByteBuffer... bytes);

        /** Returns whether all bytes that were sent have been handed to the operating system. */
        boolean hasSentAll();

        /** Returns whether further bytes are wanted, of which so many wait here already. */
        boolean takesMore(int waitingBytes);

        /** Returns whether commands have been read whose answers come behind the value. */
        boolean hasCommandsBehind();

        /** Reserves memory for bytes of the value until they are sent; returns false if there is none. */
        boolean reserve(int bytes);

        /** Gives up memory that was reserved for bytes which have been sent. */
        void release(int bytes);

        /** Called when the whole value has been sent. */
        void delivered();

        /** Called when the value has broken off before any of it was sent. */
        void failed();

        /** Called when the value has broken off within what was sent. */
        void brokenOff();
    }

    /** A value is collected for at least this long from when it is its turn, whatever its request had. */
    private static final long MIN_HOLD_NANOS = 300 * Clock.MILLI;
    /** A value is collected for this long at most: its first bytes are waited for. */
    private static final long MAX_HOLD_NANOS = 1_500 * Clock.MILLI;
    /** The first bytes go out this long before the user agent stops waiting for them. */
    private static final long SENDING_NANOS = 100 * Clock.MILLI;
    /** Size of the buffers in which bytes wait that cannot be sent yet. */
    private static final int PIECE_BYTES = 16 * 1024;

    private final Loop loop;
    private final Receiver receiver;
    private final Incoming value;
    private final ByteBuffer head;
    /** Bytes that wait to be sent; only the last buffer may have room left. */
    private final Deque<ByteBuffer> waiting = new ArrayDeque<>();

    private int waitingBytes;
    /** How many bytes the server has yet to give. */
    private int missingBytes;
    /** The memory that is reserved for bytes of the value which have not been sent. */
    private int reservedBytes;
    /** Whether the head has been sent. */
    private boolean begun;

    private boolean ended;
    private Deadline holdDeadline;

    /** Creates a delivery; {@link #begin} starts it. */
    ValueDelivery(Loop loop, Receiver receiver, Incoming value, ByteBuffer head) {
        this.loop = loop;
        this.receiver = receiver;
        this.value = value;
        this.head = head;
        this.missingBytes = value.length();
    }

    /** Starts to take the value, of which the user agent waits for the first bytes until the given time. */
    void begin(long dueAt) {
        boolean collects = receiver.hasCommandsBehind() && reserveMissing();
        if (!value.to(this)) {
            ended = true;
            receiver.failed();
        } else if (collects) {
            long nanosLeft = dueAt - SENDING_NANOS - loop.now();
            long holdNanos = Math.max(MIN_HOLD_NANOS, Math.min(MAX_HOLD_NANOS, nanosLeft));
            holdDeadline = loop.after(holdNanos, this::passOn);
        } else {
            passOn();
        }
    }

    /** Takes nothing further; what waits is dropped. */
    void cancel() {
        ended = true;
        waiting.clear();
        loop.cancel(holdDeadline);
    }

    /** Called when everything that was sent has been handed to the operating system. */
    void resume() {
        if (!ended && begun) {
            sendWaiting();
            if (receiver.hasCommandsBehind()) {
                reserveMissing();
            }
            value.more();
        }
    }

    /** Sends what has come, and from now on what comes. */
    private void passOn() {
        begun = true;
        receiver.send(head);
        sendWaiting();
    }

    /** Reserves room for all that is missing, so that it can be taken as quickly as the server gives it. */
    private boolean reserveMissing() {
        if (reservedBytes == 0 && missingBytes > 0 && receiver.reserve(missingBytes)) {
            reservedBytes = missingBytes;
        }
        return reservedBytes > 0;
    }

    @Override
    public void bytes(ByteBuffer bytes) {
        missingBytes -= bytes.remaining();
        while (bytes.hasRemaining()) {
            ByteBuffer last = waiting.peekLast();
            if (last == null || !last.hasRemaining()) {
                last = ByteBuffer.allocate(sendsAtOnce() ? bytes.remaining() : PIECE_BYTES);
                waiting.add(last);
            }
            int part = Math.min(last.remaining(), bytes.remaining());
            last.put(last.position(), bytes, bytes.position(), part);
            last.position(last.position() + part);
            bytes.position(bytes.position() + part);
            waitingBytes += part;
        }
        if (begun && (receiver.hasSentAll() || waitingBytes >= PIECE_BYTES)) {
            sendWaiting();
        }
    }

    private boolean sendsAtOnce() {
        return begun && receiver.hasSentAll();
    }

    private void sendWaiting() {
        if (waiting.isEmpty()) {
            return;
        }
        ByteBuffer[] pieces = waiting.stream().map(ByteBuffer::flip).toArray(ByteBuffer[]::new);
        int sentBytes = Math.min(waitingBytes, reservedBytes);
        waiting.clear();
        waitingBytes = 0;
        receiver.send(pieces);
        if (sentBytes > 0) {
            reservedBytes -= sentBytes;
            receiver.release(sentBytes);
        }
    }

    @Override
    public boolean wantsMore() {
        return reservedBytes > 0 || receiver.takesMore(waitingBytes);
    }

    @Override
    public void whole() {
        ended = true;
        loop.cancel(holdDeadline);
        if (!begun) {
            receiver.send(head);
        }
        sendWaiting();
        receiver.delivered();
    }

    @Override
    public void cut() {
        ended = true;
        loop.cancel(holdDeadline);
        if (begun) {
            sendWaiting();
            receiver.brokenOff();
        } else {
            receiver.failed();
        }
    }
}
