package slateseam.router.pass;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import slateseam.decision.Api.Outcome;
import slateseam.router.connections.servers.Link;
import slateseam.router.connections.servers.ServerConnections;
import slateseam.router.connections.servers.Trust;
import slateseam.router.net.Clock;
import slateseam.router.net.Connection;
import slateseam.router.net.Deadlines.Deadline;
import slateseam.router.net.Loop;
import slateseam.router.net.MalformedException;
import slateseam.router.request.Answer;
import slateseam.router.request.Ending;
import slateseam.router.request.Incoming;

/**
 * A connection to a server. Carries proxy passes in order, matches replies to them, and reports to {@link Passes}
 * what happens to the connection.
 */
final class ServerConnection extends Connection {
    /**
     * How long the rest of a reply may take once a part of it has arrived. The limit is shorter than a latency
     * target, so that there is time for another pass.
     */
    private static final long REPLY_REST_TIMEOUT_NANOS = 250 * Clock.MILLI;

    /** How long a long reply that is collected may make no progress; the deadline of its request ends it as well. */
    private static final long LONG_REPLY_STALL_TIMEOUT_NANOS = 1_000 * Clock.MILLI;

    /** Maximum size of the pieces in which a long value is passed on. */
    private static final int MAX_PIECE_BYTES = 16 * 1024;

    /** How long a long value may make no progress before the connection is closed. */
    private static final long STALL_TIMEOUT_NANOS = 4_000 * Clock.MILLI;

    private final Passes passes;
    private final ApplicationServer server;
    private final Link link;
    private final Deque<Pass> awaited = new ArrayDeque<>();
    private boolean up;
    private long upAt;
    private boolean used;
    private boolean reading;
    /** Replies that are held back until the fence is answered, in order; null if none must be verified. */
    private List<ServerProtocol.Reply> held;
    /** The fence behind the replies held back; null until all outstanding passes have one. */
    private Fence fence;

    /** Deadline of the current phase: of connecting, or of receiving the rest of a reply. */
    private Deadline deadline;

    private boolean partial;
    /** The long value being received; null if none is. */
    private LongValue streaming;

    ServerConnection(Loop loop, Passes passes, ApplicationServer server, Link link, long connectNanos)
            throws IOException {
        super(loop, server.address());
        this.passes = passes;
        this.server = server;
        this.link = link;
        deadline = loop.after(connectNanos, this::breakOff);
    }

    /** Writes a pass behind the outstanding ones, unless a read beforehand shows that the connection is unusable. */
    void carry(Pass pass) {
        if (awaited.isEmpty() && !reading && (used || upAt != loop().now())) {
            // Reads first, so that surplus bytes behind the last reply are not taken for the reply to this pass.
            poll();
        }
        if (isClosed() || !link.isOpen()) {
            return;
        }
        used = true;
        pass.begin();
        awaited.add(pass);
        long wait = Math.max(1, Clock.millisUp(pass.endsAt - loop().now()));
        write(pass.isProbe() ? server.protocol().probe() : server.protocol().command(pass.request, wait));
    }

    /** Closes the connection, with all passes outstanding on it. */
    void end() {
        loop().cancel(deadline);
        close();
        if (streaming != null) {
            streaming.connectionEnded();
        }
    }

    @Override
    protected void connected() {
        up = true;
        upAt = loop().now();
        loop().cancel(deadline);
        passes.report(connections -> connections.up(loop().now(), link));
    }

    @Override
    protected void written() {
        for (Pass pass : awaited) {
            if (!pass.isWritten()) {
                pass.markWritten();
                passes.written(pass);
            }
        }
    }

    @Override
    protected void received(ByteBuffer in) throws MalformedException {
        reading = true;
        try {
            while (!isClosed()
                    && link.isOpen()
                    && (streaming == null ? takeReply(in) : streaming.take(in))
                    && in.hasRemaining()) {
                // Continues with the next reply.
            }
        } finally {
            reading = false;
        }
    }

    @Override
    protected void ended(ByteBuffer remainingBytes) throws MalformedException {
        Pass first = awaited.peek();
        boolean expectsReply = first != null && !first.isProbe() && streaming == null && held == null && link.isOpen();
        ServerProtocol.Reply reply = expectsReply ? server.protocol().replyAtEnd(remainingBytes) : null;
        if (reply != null) {
            trust(first, reply);
            answered(reply, remainingBytes.hasRemaining());
        }
    }

    /** Takes one reply from the buffer, or the head of a long one. Returns false if more bytes are needed first. */
    private boolean takeReply(ByteBuffer in) throws MalformedException {
        Pass first = awaited.peek();
        if (first == null) {
            throw new MalformedException("reply received while no request is outstanding");
        }
        ServerProtocol protocol = server.protocol();
        if (fence != null) {
            return takeFence(in);
        }
        if (mayStream(first)) {
            ServerProtocol.LongReplyHead head = protocol.readLongReplyHead(in);
            if (head != null) {
                awaitRest(false);
                streaming = new LongValue(first, head, trust(first, new ServerProtocol.Reply(Outcome.OK)));
                streaming.begin();
                return true;
            }
        }
        int start = in.position();
        ServerProtocol.Reply reply = first.isProbe() ? protocol.probeReply(in) : protocol.reply(in);
        if (reply == null) {
            awaitMore(in);
            return false;
        }
        if (held == null && trust(first, reply) == Trust.VERIFY) {
            held = new ArrayList<>();
        }
        if (held != null) {
            hold(reply, in);
            return true;
        }
        rejectAmbiguous(in, start);
        awaitRest(false);
        answered(reply, in.hasRemaining());
        return true;
    }

    /**
     * Awaits the rest of a reply. One that is long, or that ends with the connection, may take as long as it makes
     * progress: its deadline restarts whenever bytes arrive.
     */
    private void awaitMore(ByteBuffer in) throws MalformedException {
        boolean begun = in.hasRemaining();
        boolean isLong = begun && isLong(in);
        if (isLong) {
            passes.longReplyBegun(awaited.peek());
        }
        if (isLong || begun && server.protocol().endsWithConnection(in)) {
            awaitRest(false);
        }
        awaitRest(begun || held != null, isLong ? LONG_REPLY_STALL_TIMEOUT_NANOS : REPLY_REST_TIMEOUT_NANOS);
    }

    /** Returns whether a reply that has begun has a long value, as far as its head or what has come of it tells. */
    private boolean isLong(ByteBuffer in) throws MalformedException {
        return in.remaining() > LONG_VALUE || server.protocol().readLongReplyHead(in.duplicate()) != null;
    }

    /**
     * Holds a reply back, and writes the fence behind the last one that is outstanding. What has come by then cannot
     * be the reply to the fence.
     */
    private void hold(ServerProtocol.Reply reply, ByteBuffer in) throws MalformedException {
        held.add(reply);
        awaitRest(true);
        if (held.size() == awaited.size()) {
            fence = new Fence(in, passes.fenceCommands(), this::write);
        }
    }

    /** A value with passes behind it is read whole, as a fence can stand only behind all of them. */
    private boolean mayStream(Pass first) {
        return held == null
                && awaited.size() == 1
                && !first.isProbe()
                && first.request.streams()
                && first.isWritten()
                && !first.isGivenUp();
    }

    /** Returns whether a reply to the first pass is believed at once or must be verified; throws if it is neither. */
    private Trust trust(Pass pass, ServerProtocol.Reply reply) throws MalformedException {
        if (pass.isProbe()) {
            return Trust.BELIEVE; // its reply has a form of its own
        }
        if (!pass.isWritten() && reply.outcome() == Outcome.OK) {
            throw new MalformedException("a value came before the request was written");
        }
        Trust trust = passes.trust(link);
        if (trust == Trust.REJECT) {
            throw new MalformedException("the reply on a used connection may belong to an earlier request");
        }
        return trust;
    }

    /**
     * Rejects a reply behind which a different one stands: either may be the answer. A copy of the reply, or bytes
     * that begin no reply, leave no doubt.
     */
    private void rejectAmbiguous(ByteBuffer in, int start) throws MalformedException {
        int length = in.position() - start;
        ByteBuffer copied = in.slice(start, Math.min(length, in.remaining()));
        if (awaited.size() == 1
                && in.hasRemaining()
                && server.protocol().beginsReply(in)
                && !copied.equals(in.slice(in.position(), copied.limit()))) {
            throw new MalformedException("two different replies to one request");
        }
    }

    /**
     * Takes the reply to the fence and releases the replies held back. Guards against a surplus reply being taken for
     * the answer to the next request: with one, a further reply arrives ahead of the reply to the fence.
     */
    private boolean takeFence(ByteBuffer in) throws MalformedException {
        if (!fence.isConfirmed(in)) {
            return false;
        }
        awaitRest(false);
        fence = null;
        List<ServerProtocol.Reply> own = held;
        held = null;
        for (int i = 0; i < own.size() && !isClosed() && link.isOpen(); i++) {
            answered(own.get(i), i + 1 == own.size() && in.hasRemaining());
        }
        return true;
    }

    private void answered(ServerProtocol.Reply reply, boolean more) {
        Pass pass = awaited.remove();
        boolean givenUp = pass.isGivenUp();
        boolean reusable = reply.reusable() && pass.isWritten();
        // Frees the connection before the outcome is reported, so that requests sent as a result can use it at once.
        passes.report(connections -> {
            connections.answered(loop().now(), link, reusable, more);
            if (!givenUp) {
                passes.end(pass, reply);
            }
        });
    }

    /**
     * Starts or stops the deadline for the rest of a reply. Guards against replies that never end: the pass fails
     * well before its own timeout.
     */
    private void awaitRest(boolean started) {
        awaitRest(started, REPLY_REST_TIMEOUT_NANOS);
    }

    private void awaitRest(boolean started, long timeoutNanos) {
        if (started && !partial) {
            loop().cancel(deadline);
            deadline = loop().after(timeoutNanos, this::restMissing);
        } else if (!started && partial) {
            loop().cancel(deadline);
        }
        partial = started;
    }

    /**
     * A long value that is streamed to a user agent. Received bytes are passed on from the connection's input
     * buffer; while the user agent takes none, nothing further is read from the server.
     */
    private final class LongValue implements Incoming {
        private final Pass pass;
        private final ServerProtocol.LongReplyHead head;
        private int remainingBytes;
        /** The last byte of the value, which is passed on once the value is verified; empty if that is not needed. */
        private final ByteBuffer lastByte;

        /** The fence behind the value; null while there is none. */
        private Fence behind;

        private Taker taker;
        private boolean finished;
        private Deadline stallDeadline;

        LongValue(Pass pass, ServerProtocol.LongReplyHead head, Trust trust) {
            this.pass = pass;
            this.head = head;
            this.remainingBytes = head.length();
            this.lastByte = ByteBuffer.allocate(trust == Trust.VERIFY ? 1 : 0);
        }

        void begin() {
            passes.end(pass, new ServerProtocol.Reply(Outcome.OK), new Answer.Streamed(this));
            restartStallDeadline();
        }

        @Override
        public int length() {
            return head.length();
        }

        @Override
        public boolean to(Taker by) {
            if (finished) {
                return false; // the value broke off while earlier answers to the user agent were pending
            }
            taker = by;
            more();
            return true;
        }

        @Override
        public void more() {
            if (!finished && taker != null && taker.wantsMore()) {
                pause(false);
                restartStallDeadline();
            }
        }

        @Override
        public void stop(Ending why) {
            taker = null;
            if (!finished) {
                finish();
                passes.report(connections -> connections.giveUp(loop().now(), pass, false));
            }
        }

        /** Passes on the bytes received. Returns whether the reply is complete and the next one can be read. */
        boolean take(ByteBuffer in) throws MalformedException {
            while (remainingBytes > lastByte.remaining() && in.hasRemaining()) {
                if (taker == null || !taker.wantsMore()) {
                    loop().cancel(stallDeadline);
                    pause(true);
                    return false;
                }
                int most = Math.min(remainingBytes - lastByte.remaining(), MAX_PIECE_BYTES);
                ByteBuffer part = in.slice(in.position(), Math.min(most, in.remaining()));
                in.position(in.position() + part.limit());
                remainingBytes -= part.limit();
                taker.bytes(part);
                if (finished) {
                    return false;
                }
            }
            if (remainingBytes == 1 && lastByte.hasRemaining() && in.hasRemaining()) {
                lastByte.put(in.get()).flip();
                remainingBytes = 0;
            }
            restartStallDeadline();
            if (remainingBytes > 0 || !isVerified(in)) {
                return false;
            }
            if (taker != null) {
                pass(taker);
            }
            if (isClosed() || behind == null && !server.protocol().skipRest(in, head)) {
                return false;
            }
            finish();
            streaming = null;
            awaited.remove();
            passes.report(connections -> connections.answered(loop().now(), link, head.reusable(), in.hasRemaining()));
            return true;
        }

        /** Returns whether the value needs no verification, or the reply to the fence behind it has come. */
        private boolean isVerified(ByteBuffer in) throws MalformedException {
            if (lastByte.capacity() == 0) {
                return true;
            }
            if (behind == null) {
                if (!server.protocol().skipRest(in, head)) {
                    return false;
                }
                behind = new Fence(in, passes.fenceCommands(), ServerConnection.this::write);
            }
            return behind.isConfirmed(in);
        }

        /**
         * Restarts the stall deadline, which runs while more is requested: guards against a server that stops in
         * mid-reply.
         */
        private void restartStallDeadline() {
            loop().cancel(stallDeadline);
            stallDeadline = finished ? null : loop().after(STALL_TIMEOUT_NANOS, ServerConnection.this::breakOff);
        }

        private void finish() {
            finished = true;
            loop().cancel(stallDeadline);
        }

        /** Called when the connection has ended. A value that had come whole, with nothing surplus behind it, is whole. */
        void connectionEnded() {
            if (!finished && behind != null && taker != null) {
                finish();
                pass(taker);
            }
            cut();
        }

        private void pass(Taker by) {
            taker = null; // what follows the value does not concern the taker
            if (lastByte.hasRemaining()) {
                by.bytes(lastByte);
            }
            by.whole();
        }

        /** Called when a malformed reply made the connection unusable. */
        void cut() {
            if (!finished) {
                finish();
                if (taker != null) {
                    taker.cut();
                }
            }
        }
    }

    /** Called when the rest of a reply did not come in time: the server hangs, which shows no unrequested bytes. */
    private void restMissing() {
        unusable("the rest of an answer did not come", connections -> connections.unfinished(loop().now(), link));
    }

    /**
     * Called on a malformed reply. Its request may have run on the server; the connection is unusable from now on.
     */
    @Override
    protected void malformed(MalformedException e) {
        unusable(e.getMessage(), connections -> connections.spoilt(loop().now(), link));
    }

    /** Called when a reply finds no room on the heap. Its server has done its work, and another attempt would not fit. */
    @Override
    protected void noRoom(int bytes) {
        Pass first = awaited.peek();
        if (first == null || first.isProbe()) {
            super.noRoom(bytes); // nothing that long is expected
            return;
        }
        loop().log().line("answer-dropped", "no room for an answer of over " + bytes + " bytes; " + first.idText());
        passes.report(connections -> {
            boolean givenUp = first.isGivenUp();
            connections.unfinished(loop().now(), link);
            if (!givenUp) {
                passes.end(first, new ServerProtocol.Reply(Outcome.OK), new Answer.Failed());
            }
        });
    }

    private void unusable(String why, Consumer<ServerConnections> event) {
        Pass first = awaited.peek();
        String hit = first == null ? "" : first.isProbe() ? "; a probe" : "; request " + first.idText();
        loop().log().line("server-malformed", server.address() + ": " + why + hit);
        if (streaming != null) {
            streaming.cut();
        }
        passes.report(connections -> {
            if (first == null) {
                connections.noise(loop().now(), link);
                return;
            }
            boolean givenUp = first.isGivenUp();
            event.accept(connections);
            if (!givenUp) {
                passes.end(first, new ServerProtocol.Reply(Outcome.SPOILT));
            }
        });
    }

    @Override
    protected void broken() {
        loop().cancel(deadline);
        if (streaming != null) {
            streaming.connectionEnded();
        }
        passes.gone(link);
        passes.report(connections -> {
            if (up) {
                connections.broken(loop().now(), link);
            } else {
                connections.failed(loop().now(), link);
            }
        });
    }
}
