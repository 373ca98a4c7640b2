package slateseam.router.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;

/** A TCP connection on the loop: a bounded input buffer, parsed in place, and gathered writes. */
public abstract class Connection implements Loop.Handler {
    /** The longest value that is carried: the daily service has them. */
    public static final int VALUE_LIMIT = 4 * 1024 * 1024;
    /** Longer ones stream. */
    public static final int LONG_VALUE = 64 * 1024;

    /** The longest message, in bytes: the longest value and what stands round it. */
    protected static final int MESSAGE_LIMIT = VALUE_LIMIT + 8 * 1024;

    private static final int FIRST_INPUT = 4 * 1024;
    /** Larger buffers are counted, so that many long values, or beginnings of commands, at once cannot fill the heap. */
    private static final int UNCOUNTED = 16 * 1024;

    private static final int GROWTH_FACTOR = 4;
    /** Of one read: the system's copies lie outside the heap, where there is little room. */
    private static final int CHUNK = 128 * 1024;

    private static final ByteBuffer NOTHING = ByteBuffer.allocate(0);

    private final Loop loop;
    private final SocketChannel channel;
    /** Null where the channel's bytes pass as they are. */
    private final Transport transport;

    private final SelectionKey key;
    private final Deque<ByteBuffer> unwritten = new ArrayDeque<>();
    /** The sizes of the buffers in {@link #unwritten}, in bytes. */
    private long retained;

    /** What has come, up to its position; the bytes before {@link #consumed} have been taken. */
    private ByteBuffer input = NOTHING;
    /** How many bytes at the beginning of {@link #input} have been taken by {@link #received}. */
    private int consumed;

    private int counted;
    /** Whether {@link #received} is running, so that the buffer must not be read into. */
    private boolean handingOut;
    /** Whether what was read ahead is about to be handed out, so that it may hold whole messages. */
    private boolean awaitsHandOut;

    private boolean paused;
    /** Of what is read while paused, so that the other side's end behind it is seen; 0 for nothing. */
    private int ahead;
    /** Whether all that has come is read before any of it is handed out, so that an end behind it is seen. */
    private boolean readsToTheEnd;
    /** Whether what comes is thrown away. */
    private boolean ignoring;

    private boolean lingering;
    private boolean closed;
    /** Of what was to be written. */
    private long handed;
    /** Whether the transport lets bytes pass. */
    private boolean open;
    /** Whether the transport's input is looked at in the next round anyway. */
    private boolean goesOn;

    /** Takes over an accepted channel. */
    protected Connection(Loop loop, SocketChannel accepted) throws IOException {
        this(loop, accepted, 0);
    }

    /**
     * Takes over an accepted channel, of which up to so many bytes are read ahead while it is paused. Guards against work for
     * one that has gone: its end lies behind what it sent before.
     */
    protected Connection(Loop loop, SocketChannel accepted, int ahead) throws IOException {
        this.ahead = ahead;
        this.loop = loop;
        this.channel = accepted;
        this.transport = null;
        accepted.setOption(StandardSocketOptions.TCP_NODELAY, true);
        this.key = loop.register(accepted, SelectionKey.OP_READ, this);
    }

    /** Begins to connect; {@link #connected} or {@link #broken} follows. */
    protected Connection(Loop loop, InetSocketAddress to) throws IOException {
        this(loop, to, null);
    }

    /** The same through a transport, or null for none; {@link #connected} follows when bytes can pass. */
    protected Connection(Loop loop, InetSocketAddress to, Transport transport) throws IOException {
        this.ahead = 0;
        this.loop = loop;
        this.transport = transport;
        this.channel = loop.provider().openSocketChannel();
        try {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            channel.configureBlocking(false);
            boolean up = channel.connect(to);
            this.key = loop.register(channel, up ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, this);
            if (up) {
                loop.after(0, this::upAtOnce);
            }
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
    }

    /** The connection is up. */
    protected void connected() {}

    /**
     * Bytes have come. Takes whole messages from the buffer and leaves the rest.
     *
     * @throws MalformedException if what came can never become a message
     */
    protected abstract void received(ByteBuffer in) throws MalformedException;

    /** The other side sent what breaks the protocol. */
    protected abstract void malformed(MalformedException e);

    /**
     * The other side has ended its sending in order, behind bytes that {@link #received} has left; {@link #broken} follows. A
     * reset is no such end.
     */
    protected void ended(ByteBuffer left) throws MalformedException {}

    /** The other side has closed the connection, or it broke, or it never came up; it is closed now. */
    protected abstract void broken();

    /** Bytes came after {@link #linger} and were thrown away. */
    protected void discarded() {}

    /** Part of what was to be written has been handed to the system. */
    protected void progressed() {}

    /** All that was to be written has been. */
    protected void written() {}

    /** There is no room on the heap for the rest of a message of which so much has come. */
    protected void noRoom(int bytes) {
        malformed(new MalformedException("no room for a message of over " + bytes + " bytes"));
    }

    /** Whether all that was to be written has been handed to the system. */
    protected final boolean isFlushed() {
        return unwritten.isEmpty() && (transport == null || !transport.holdsOutput());
    }

    /** Whether bytes have come that {@link #received} has left. */
    protected final boolean hasInput() {
        return inputBytes() > 0;
    }

    /** How many bytes have come that {@link #received} has left. */
    protected final int inputBytes() {
        return handingOut ? input.remaining() : input.position() - consumed;
    }

    /** The loop that the connection lives on. */
    protected final Loop loop() {
        return loop;
    }

    /** Whether it was closed, by whichever side. */
    protected final boolean isClosed() {
        return closed;
    }

    /**
     * Ends the sending once all is written, and throws away what comes from now on; {@link #broken} follows when the
     * other side ends too. Guards against a close over unread input, which resets the connection and can destroy the
     * answers written just before.
     */
    protected final void linger() {
        if (!lingering && !closed) {
            lingering = true;
            paused = false;
            dropInput();
            flush();
        }
    }

    /** Throws away what comes from now on, and what has come and was not taken; {@link #broken} tells of the end as before. */
    protected final void ignoreInput() {
        if (!closed && !lingering) {
            ignoring = true;
            dropInput();
            interest();
        }
    }

    /** Reads what has come, without waiting until the selector says so. */
    protected final void poll() {
        try {
            if (!closed && reads()) {
                read();
            }
        } catch (IOException e) {
            breakOff();
        }
    }

    /**
     * Changes how much is read ahead while paused. What was left in the system under a lower limit is looked through, as far
     * as the new one lets, before any of it is handed out: the other side may have gone meanwhile.
     */
    protected final void limitReadAhead(int bytes) {
        readsToTheEnd = bytes > ahead;
        ahead = bytes;
        if (!closed) {
            interest();
        }
    }

    /** Whether anything is read now: while paused only what may be read ahead. */
    private boolean reads() {
        return !paused || ignoring || inputBytes() < ahead && hasRoomAhead();
    }

    /** Whether the buffer takes more without moving most of what lies in it. */
    private boolean hasRoomAhead() {
        return input.hasRemaining() || input.capacity() < ahead || isMostlyConsumed();
    }

    /**
     * Stops or goes on with handing out what comes, and but for what is read ahead with reading. What lies in the buffer already is
     * handed out when that goes on.
     */
    protected final void pause(boolean stop) {
        if (paused != stop && !closed && !lingering) {
            paused = stop;
            interest();
            if (!stop && hasInput()) {
                awaitsHandOut = true;
                loop.after(0, this::handOut);
            }
            lookAgain();
        }
    }

    /** Writes the buffers, in order, as far as the system takes them; the rest follows. */
    protected final void write(ByteBuffer... buffers) {
        if (closed) {
            return;
        }
        for (ByteBuffer b : buffers) {
            if (b.hasRemaining()) {
                unwritten.add(b);
                retained += b.capacity();
            }
        }
        flush();
    }

    /** Closes it from this side; {@link #broken} is not called. */
    public final void close() {
        if (!closed) {
            closed = true;
            dropInput();
            unwritten.clear();
            retained = 0;
            if (transport != null && open) {
                transport.close();
            }
            try {
                channel.close();
            } catch (IOException e) {
                loop.log().line("socket-error", "close: " + e);
            }
        }
    }

    @Override
    public final void ready(SelectionKey ready) {
        try {
            if (ready.isConnectable()) {
                channel.finishConnect();
                up();
            } else if (transport != null) {
                goOn();
                return;
            }
            if (!closed && ready.isWritable()) {
                flush();
            }
            if (!closed && ready.isReadable() && reads()) {
                read();
            }
        } catch (IOException e) {
            breakOff();
        }
    }

    private void up() throws IOException {
        if (transport == null) {
            interest();
            connected();
        } else {
            transport.begin(channel, this::goOn);
            advance();
        }
    }

    private void upAtOnce() {
        try {
            if (!closed) {
                up();
            }
        } catch (IOException e) {
            breakOff();
        }
    }

    private void goOn() {
        goesOn = false;
        try {
            if (!closed) {
                advance();
            }
        } catch (IOException e) {
            breakOff();
        }
    }

    /** Goes on with a transport, whatever it was that let it. */
    private void advance() throws IOException {
        if (!open) {
            open = transport.open();
            interest();
            if (!open) {
                return;
            }
            connected();
        }
        if (!closed && !isFlushed()) {
            flush();
        }
        if (!closed && reads()) {
            read();
        }
        lookAgain();
    }

    /** Guards bytes that the transport has taken from the channel already: the selector would not tell of them. */
    private void lookAgain() {
        if (transport != null && open && !closed && !paused && !goesOn && transport.holdsInput()) {
            goesOn = true;
            loop.nextRound(this::goOn);
        }
    }

    private int take(ByteBuffer to) throws IOException {
        return transport == null ? channel.read(to) : transport.read(to);
    }

    /** Closes it as one that is of no use any more; {@link #broken} is called. */
    protected final void breakOff() {
        if (!closed) {
            close();
            broken();
        }
    }

    private void read() throws IOException {
        if (lingering || ignoring) {
            int come = take(loop.scratch());
            if (come < 0) {
                breakOff();
            } else if (come > 0 && lingering) {
                discarded();
            }
            return;
        }
        int come = readPart();
        awaitsHandOut |= come > 0;
        // Guards against beginning what one asked for that has gone since: the end may lie there already.
        while (come > 0 && (loop.isLate() || readsToTheEnd) && inputBytes() < ahead) {
            int more = readPart();
            if (more <= 0) {
                come = more < 0 ? more : come;
                break;
            }
        }
        readsToTheEnd &= come <= 0;
        if (come < 0) {
            endInOrder();
        } else if (come > 0) {
            handOut();
        }
    }

    private void endInOrder() {
        try {
            if (!paused && hasInput()) {
                ended(input.flip().position(consumed));
            }
        } catch (MalformedException e) {
            malformed(e);
        } finally {
            breakOff();
        }
    }

    /**
     * Reads ahead all that has come, without handing it out, to see whether the other side has ended. What is read is
     * handed out as usual later.
     *
     * @return whether the other side is still there; false as well if more has come than may be read ahead, as its end
     *     may lie behind that
     */
    protected final boolean isSeenOpen() {
        if (closed || handingOut) {
            return !closed; // what is being handed out has been read just now
        }
        try {
            return lingering || ignoring ? readsNoEnd() : readsAheadOfNoEnd();
        } catch (IOException e) {
            breakOff();
            return false;
        }
    }

    /** Throws away what has come; returns whether it was not the end. */
    private boolean readsNoEnd() throws IOException {
        int come = take(loop.scratch());
        if (come < 0) {
            breakOff();
        }
        return come >= 0;
    }

    /** Reads ahead what has come; returns whether that was all, and not the end. */
    private boolean readsAheadOfNoEnd() throws IOException {
        if (!paused && !awaitsHandOut) {
            awaitsHandOut = true;
            loop.after(0, this::handOut);
        }
        int come = 1;
        while (!closed && come > 0 && inputBytes() < ahead) {
            come = readPart();
        }
        if (come < 0) {
            breakOff();
        }
        boolean mayHideMore = inputBytes() >= ahead || hasInput() && !input.hasRemaining();
        return !closed && !mayHideMore;
    }

    /** How much was read; 0 if there is no room either, -1 at the end. */
    private int readPart() throws IOException {
        if (hasInput() && !input.hasRemaining() && !makeRoom()) {
            return 0;
        }
        return hasInput() ? readOn() : readFirst();
    }

    /** Begins a buffer no longer than what has come: most messages come whole, and many polls find nothing. */
    private int readFirst() throws IOException {
        ByteBuffer scratch = loop.scratch().limit(paused ? Math.min(FIRST_INPUT, ahead) : FIRST_INPUT);
        int come = take(scratch);
        if (come > 0) {
            input = ByteBuffer.allocate(come).put(scratch.flip());
            consumed = 0;
        }
        return come;
    }

    private int readOn() throws IOException {
        input.limit(Math.min(input.capacity(), input.position() + CHUNK));
        int come = take(input);
        input.limit(input.capacity());
        return come;
    }

    /** Makes room for further bytes behind those that have come; false if there is none. */
    private boolean makeRoom() {
        if (isMostlyConsumed()) {
            moveToFront();
            return true;
        }
        return grow();
    }

    private boolean isMostlyConsumed() {
        return consumed > input.capacity() / 2;
    }

    private void moveToFront() {
        input.flip().position(consumed);
        input.compact();
        consumed = 0;
    }

    private boolean grow() {
        int longest = readsAhead() ? ahead : MESSAGE_LIMIT;
        int larger = Math.min(longest, Math.max(FIRST_INPUT, GROWTH_FACTOR * input.capacity()));
        if (larger <= input.capacity() || larger > UNCOUNTED && !reserve(larger - counted)) {
            return makeRoomWithinBounds();
        }
        counted = larger > UNCOUNTED ? larger : counted;
        input.flip().position(consumed);
        input = ByteBuffer.allocate(larger).put(input);
        consumed = 0;
        return true;
    }

    private boolean reserve(int bytes) {
        return readsAhead() ? loop.memory().reserveAhead(bytes) : loop.memory().reserveInput(bytes);
    }

    /** Whether whole messages may lie in the buffer, so that it need not hold the next one yet. */
    private boolean readsAhead() {
        return paused || awaitsHandOut;
    }

    /** Uses what has been taken of a buffer that cannot grow. */
    private boolean makeRoomWithinBounds() {
        if (consumed > 0) {
            moveToFront();
            return true;
        }
        if (paused) {
            stopReadingAhead();
        } else if (!awaitsHandOut && input.capacity() < MESSAGE_LIMIT) {
            noRoom(input.capacity());
        }
        return false;
    }

    /** There is no room: what lies in the system waits until the pause is over. */
    private void stopReadingAhead() {
        if (key.isValid()) {
            key.interestOps(key.interestOps() & ~SelectionKey.OP_READ);
        }
    }

    private void dropInput() {
        input = NOTHING;
        consumed = 0;
        loop.memory().reserveInput(-counted);
        counted = 0;
    }

    private void handOut() {
        awaitsHandOut = false;
        if (closed || paused || lingering || ignoring) {
            if (!closed) {
                interest();
            }
            return;
        }
        int end = input.position();
        ByteBuffer in = input.flip().position(consumed);
        try {
            handOut(in);
            if (closed || lingering || ignoring) {
                return;
            }
            consumed = in.position();
            input.limit(input.capacity()).position(end);
            if (!hasInput()) {
                dropInput();
            } else if (inputBytes() == MESSAGE_LIMIT && !paused) {
                throw new MalformedException("a message is longer than " + MESSAGE_LIMIT + " bytes");
            }
        } catch (MalformedException e) {
            malformed(e);
        } catch (RuntimeException e) {
            // Guards against going on with bytes of which nobody knows which were taken.
            loop.after(0, this::breakOff);
            paused = true;
            throw e;
        }
    }

    private void handOut(ByteBuffer in) throws MalformedException {
        handingOut = true;
        try {
            received(in);
        } finally {
            handingOut = false;
        }
    }

    private void flush() {
        if (transport != null && !open) {
            return;
        }
        try {
            if (!writeUnwritten()) {
                interest();
                return;
            }
            if (lingering) {
                endSending();
            }
            boolean all = transport == null || transport.flush();
            interest();
            if (all) {
                written();
            }
        } catch (IOException e) {
            // Guards the writer, which may be in the middle of its own bookkeeping, against a call back.
            loop.after(0, this::breakOff);
        }
    }

    /** Writes as much as the system takes; returns whether that is all. */
    private boolean writeUnwritten() throws IOException {
        long before = handed;
        boolean all = true;
        while (all && !unwritten.isEmpty()) {
            all = writeChunk();
        }
        if (handed > before) {
            progressed();
        }
        return all;
    }

    private void endSending() throws IOException {
        if (transport == null) {
            channel.shutdownOutput();
        } else {
            transport.end();
        }
    }

    /** Gathers some of what is first and writes it; whether the system took all of that. */
    private boolean writeChunk() throws IOException {
        ByteBuffer chunk = loop.scratch();
        int gathered = 0;
        for (ByteBuffer next : unwritten) {
            int part = Math.min(chunk.capacity() - gathered, next.remaining());
            chunk.put(gathered, next, next.position(), part);
            gathered += part;
            if (gathered == chunk.capacity()) {
                break;
            }
        }
        chunk.limit(gathered);
        int taken = transport == null ? channel.write(chunk) : transport.write(chunk);
        boolean all = taken == gathered;
        handed += taken;
        while (taken > 0) {
            ByteBuffer first = unwritten.peek();
            int part = Math.min(taken, first.remaining());
            first.position(first.position() + part);
            taken -= part;
            if (!first.hasRemaining()) {
                unwritten.poll();
                retained -= first.capacity();
            }
        }
        return all;
    }

    /** How many bytes are still to be handed to the system. */
    public final long unwrittenBytes() {
        return unwritten.stream().mapToLong(ByteBuffer::remaining).sum();
    }

    /**
     * The size of the buffers that wait to be handed to the system, in bytes. A buffer takes its whole size until its
     * last byte has been handed over.
     */
    protected final long retainedBytes() {
        return retained;
    }

    private void interest() {
        if (key.isValid() && channel.isConnected()) {
            boolean reads = transport == null || open ? reads() : !transport.waits();
            key.interestOps((reads ? SelectionKey.OP_READ : 0) | (isFlushed() ? 0 : SelectionKey.OP_WRITE));
        }
    }
}
