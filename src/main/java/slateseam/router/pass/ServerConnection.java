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
    private static final long REST_NANOS = 250 * Clock.MILLI;

    /** Maximum size of the pieces in which a long value is passed on. */
    private static final int PIECE = 16 * 1024;

    /** How long a long value may make no progress before the connection is closed. */
    private static final long STALLED_NANOS = 4_000 * Clock.MILLI;
    /**
     * How many leading bytes of a reply are compared with the previous reply. A reply that equals the previous one
     * in these bytes and in length counts as a possible duplicate.
     */
    private static final int COMPARED = 256;

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
    private Deadline limit;

    private boolean partial;
    /** The long value being received; null if none is. */
    private LongValue coming;

    ServerConnection(Loop loop, Passes passes, ApplicationServer server, Link link, long connectNanos)
            throws IOException {
        super(loop, server.address());
        this.passes = passes;
        this.server = server;
        this.link = link;
        limit = loop.after(connectNanos, this::breakOff);
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
        loop().cancel(limit);
        close();
        if (coming != null) {
            coming.cut();
        }
    }

    @Override
    protected void connected() {
        up = true;
        upAt = loop().now();
        loop().cancel(limit);
        passes.tell(connections -> connections.up(loop().now(), link));
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
                    && (coming == null ? takeOne(in) : coming.take(in))
                    && in.hasRemaining()) {
                // Continues with the next reply.
            }
        } finally {
            reading = false;
        }
    }

    @Override
    protected void ended(ByteBuffer left) throws MalformedException {
        Pass first = awaited.peek();
        boolean may = first != null && !first.isProbe() && coming == null && held == null && link.isOpen();
        ServerProtocol.Reply reply = may ? server.protocol().replyAtEnd(left) : null;
        if (reply != null) {
            answered(reply, left.hasRemaining());
        }
    }

    /** Takes one reply from the buffer, or the head of a long one. Returns false if more bytes are needed first. */
    private boolean takeOne(ByteBuffer in) throws MalformedException {
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
            ServerProtocol.Begun begun = protocol.begun(in);
            if (begun != null) {
                awaitRest(false);
                coming = new LongValue(first, begun);
                coming.begin();
                return true;
            }
        }
        ServerProtocol.Reply reply = first.isProbe() ? protocol.probeReply(in) : protocol.reply(in);
        if (reply == null) {
            // A reply without a length ends with the connection: restarts the deadline for the rest whenever bytes
            // arrive,
            // so that such a reply may take as long as it makes progress.
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
        if (!server.protocol().passFence(in)) {
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
        byte[] compared = new byte[Math.min(COMPARED, answer.limit())];
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
        passes.tell(connections -> {
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
    private void awaitRest(boolean begun) {
        if (begun && !partial) {
            loop().cancel(limit);
            limit = loop().after(
                            REST_NANOS, () -> malformed(new MalformedException("the rest of an answer did not come")));
        } else if (!begun && partial) {
            loop().cancel(limit);
        }
        partial = begun;
    }

    /**
     * A long value that is streamed to a user agent. Received bytes are passed on from the connection's input
     * buffer; while the user agent takes none, nothing further is read from the server.
     */
    private final class LongValue implements Incoming {
        private final Pass pass;
        private final ServerProtocol.Begun begun;
        private int left;
        private Taker taker;
        private boolean over;
        private Deadline stalled;

        LongValue(Pass pass, ServerProtocol.Begun begun) {
            this.pass = pass;
            this.begun = begun;
            this.left = begun.length();
        }

        void begin() {
            passes.end(pass, new ServerProtocol.Reply(Outcome.OK), new Answer.Streamed(this));
            awaitMore();
        }

        @Override
        public int length() {
            return begun.length();
        }

        @Override
        public void to(Taker by) {
            taker = by;
            if (over) {
                by.cut(); // the value broke off while earlier answers to the user agent were pending
            }
            more();
        }

        @Override
        public void more() {
            if (!over && taker != null && taker.wantsMore()) {
                pause(false);
                awaitMore();
            }
        }

        @Override
        public void stop() {
            taker = null;
            if (!over) {
                finish();
                passes.tell(connections -> connections.giveUp(loop().now(), pass, false));
            }
        }

        /** Passes on the bytes received. Returns whether the reply is complete and the next one can be read. */
        boolean take(ByteBuffer in) throws MalformedException {
            while (left > 0 && in.hasRemaining()) {
                if (taker == null || !taker.wantsMore()) {
                    loop().cancel(stalled);
                    pause(true);
                    return false;
                }
                ByteBuffer part = in.slice(in.position(), Math.min(Math.min(left, PIECE), in.remaining()));
                in.position(in.position() + part.limit());
                left -= part.limit();
                taker.bytes(part);
                if (over) {
                    return false;
                }
            }
            awaitMore();
            if (left == 0 && taker != null) {
                Taker by = taker;
                taker = null; // what follows the value does not concern the taker
                by.whole();
            }
            if (left > 0 || isClosed() || !server.protocol().passRest(in, begun)) {
                return false;
            }
            finish();
            coming = null;
            awaited.remove();
            passes.tell(connections -> connections.answered(loop().now(), link, begun.reusable(), in.hasRemaining()));
            return true;
        }

        /**
         * Restarts the stall deadline, which runs while more is requested: guards against a server that stops in
         * mid-reply.
         */
        private void awaitMore() {
            loop().cancel(stalled);
            stalled = over ? null : loop().after(STALLED_NANOS, ServerConnection.this::breakOff);
        }

        private void finish() {
            over = true;
            loop().cancel(stalled);
        }

        /** Called when the connection has ended, or when a malformed reply made it unusable. */
        void cut() {
            if (!over) {
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
        if (coming != null) {
            breakOff();
            return;
        }
        passes.tell(connections -> {
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
        loop().cancel(limit);
        if (coming != null) {
            coming.cut();
        }
        passes.gone(link);
        passes.tell(connections -> {
            if (up) {
                connections.broken(loop().now(), link);
            } else {
                connections.failed(loop().now(), link);
            }
        });
    }
}
