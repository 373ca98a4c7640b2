package slateseam.router.pass;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import slateseam.decision.Api.Outcome;
import slateseam.router.connections.servers.Link;
import slateseam.router.net.Clock;
import slateseam.router.net.Connection;
import slateseam.router.net.Deadlines.Deadline;
import slateseam.router.net.Hash;
import slateseam.router.net.Loop;
import slateseam.router.net.MalformedException;
import slateseam.router.request.Answer;
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

    /** Maximum size of the pieces in which a long value is passed on. */
    private static final int MAX_PIECE_BYTES = 16 * 1024;

    /** How long a long value may make no progress before the connection is closed. */
    private static final long STALL_TIMEOUT_NANOS = 4_000 * Clock.MILLI;
    /**
     * How many leading bytes of a reply are compared with the previous reply. A reply that equals the previous one
     * in these bytes and in length counts as a possible duplicate.
     */
    private static final int COMPARED_BYTES = 256;

    private final Passes passes;
    private final ApplicationServer server;
    private final Link link;
    private final Deque<Pass> awaited = new ArrayDeque<>();
    private boolean up;
    private long upAt;
    private boolean used;
    private boolean reading;
    /** Replies that are held back until the fence is answered, in order; null if no fence is outstanding. */
    private List<ServerProtocol.Reply> held;

    private long lastBytes;
    private byte[] lastKey;
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
            streaming.cut();
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
        if (held != null && held.size() == awaited.size()) {
            return takeFence(in);
        }
        int start = in.position();
        if (held == null && !first.isProbe() && first.request.streams() && first.isWritten() && !first.isGivenUp()) {
            ServerProtocol.LongReplyHead head = protocol.readLongReplyHead(in);
            if (head != null) {
                awaitRest(false);
                streaming = new LongValue(first, head);
                streaming.begin();
                return true;
            }
        }
        ServerProtocol.Reply reply = first.isProbe() ? protocol.probeReply(in) : protocol.reply(in);
        if (reply == null) {
            // A reply without a length ends with the connection: restarts
            // the deadline for the rest whenever bytes arrive, so
            // that such a reply may take as long as it makes progress.
            boolean goesOn = in.hasRemaining() && protocol.endsWithConnection(in);
            if (goesOn) {
                awaitRest(false);
            }
            awaitRest(in.hasRemaining() || held != null);
            return false;
        }
        if (held == null && repeats(in.slice(start, in.position() - start), first)) {
            held = new ArrayList<>();
            write(protocol.fence());
        }
        awaitRest(held != null);
        if (held != null) {
            held.add(reply);
        } else {
            answered(reply, in.hasRemaining());
        }
        return true;
    }

    /**
     * Takes the reply to the fence and releases the replies held back. Guards against a duplicate of a reply being
     * taken for the reply to the next request: with a duplicate, one more reply arrives ahead of the reply to the
     * fence.
     */
    private boolean takeFence(ByteBuffer in) throws MalformedException {
        if (!server.protocol().skipFenceReply(in)) {
            return false;
        }
        awaitRest(false);
        List<ServerProtocol.Reply> own = held;
        held = null;
        for (int i = 0; i < own.size() && !isClosed() && link.isOpen(); i++) {
            answered(own.get(i), i + 1 == own.size() && in.hasRemaining());
        }
        return true;
    }

    /** Returns whether a reply equals the previous one, so that a fence must show that it is no duplicate of that. */
    private boolean repeats(ByteBuffer answer, Pass pass) {
        byte[] compared = new byte[Math.min(COMPARED_BYTES, answer.limit())];
        answer.get(compared);
        long bytes = Hash.of(compared) * 31 + answer.limit();
        byte[] key = pass.isProbe() ? null : pass.request.key();
        boolean same = bytes == lastBytes && key != null && lastKey != null;
        boolean sameKey = Arrays.equals(key, lastKey);
        lastBytes = bytes;
        lastKey = key;
        return same && passes.repeats(link, sameKey);
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
        if (started && !partial) {
            loop().cancel(deadline);
            deadline = loop().after(
                            REPLY_REST_TIMEOUT_NANOS,
                            () -> malformed(new MalformedException("the rest of an answer did not come")));
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
        private Taker taker;
        private boolean finished;
        private Deadline stallDeadline;

        LongValue(Pass pass, ServerProtocol.LongReplyHead head) {
            this.pass = pass;
            this.head = head;
            this.remainingBytes = head.length();
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
        public void to(Taker by) {
            taker = by;
            if (finished) {
                by.cut(); // the value broke off while earlier answers to the user agent were pending
            }
            more();
        }

        @Override
        public void more() {
            if (!finished && taker != null && taker.wantsMore()) {
                pause(false);
                restartStallDeadline();
            }
        }

        @Override
        public void stop() {
            taker = null;
            if (!finished) {
                finish();
                passes.report(connections -> connections.giveUp(loop().now(), pass, false));
            }
        }

        /** Passes on the bytes received. Returns whether the reply is complete and the next one can be read. */
        boolean take(ByteBuffer in) throws MalformedException {
            while (remainingBytes > 0 && in.hasRemaining()) {
                if (taker == null || !taker.wantsMore()) {
                    loop().cancel(stallDeadline);
                    pause(true);
                    return false;
                }
                ByteBuffer part =
                        in.slice(in.position(), Math.min(Math.min(remainingBytes, MAX_PIECE_BYTES), in.remaining()));
                in.position(in.position() + part.limit());
                remainingBytes -= part.limit();
                taker.bytes(part);
                if (finished) {
                    return false;
                }
            }
            restartStallDeadline();
            if (remainingBytes == 0 && taker != null) {
                Taker by = taker;
                taker = null; // what follows the value does not concern the taker
                by.whole();
            }
            if (remainingBytes > 0 || isClosed() || !server.protocol().skipRest(in, head)) {
                return false;
            }
            finish();
            streaming = null;
            awaited.remove();
            passes.report(connections -> connections.answered(loop().now(), link, head.reusable(), in.hasRemaining()));
            return true;
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

        /** Called when the connection has ended, or when a malformed reply made it unusable. */
        void cut() {
            if (!finished) {
                finish();
                if (taker != null) {
                    taker.cut();
                }
            }
        }
    }

    /**
     * Called on a malformed reply. Its request may have run on the server; the connection is unusable from now on.
     */
    @Override
    protected void malformed(MalformedException e) {
        loop().log().line("server-malformed", server.address() + ": " + e.getMessage());
        Pass first = awaited.peek();
        if (streaming != null) {
            breakOff();
            return;
        }
        passes.report(connections -> {
            if (first == null) {
                connections.noise(loop().now(), link);
                return;
            }
            boolean givenUp = first.isGivenUp();
            connections.spoilt(loop().now(), link);
            if (!givenUp) {
                passes.end(first, new ServerProtocol.Reply(Outcome.SPOILT));
            }
        });
    }

    @Override
    protected void broken() {
        loop().cancel(deadline);
        if (streaming != null) {
            streaming.cut();
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
