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

/** A connection to a server. It carries proxy passes in order and tells the passes' table what happens to it. */
final class ServerConnection extends Connection {
    /** For the rest of an answer once a part has come: less than an aim, so that there is time for another pass. */
    private static final long REST_NANOS = 250 * Clock.MILLI;

    /** Of a long value: it is passed on in pieces, and given up when nothing more comes for so long. */
    private static final int PIECE = 16 * 1024;

    private static final long STALLED_NANOS = 4_000 * Clock.MILLI;
    /** Of an answer, to compare it with the one before; what is the same so far is checked. */
    private static final int COMPARED = 256;

    private final Passes passes;
    private final ApplicationServer server;
    private final Link link;
    private final Deque<Pass> awaited = new ArrayDeque<>();
    private boolean up;
    private long upAt;
    private boolean used;
    private boolean reading;
    /** Answers that are held until a fence is answered, in order; null if none is out. */
    private List<ServerProtocol.Reply> held;

    private long lastBytes;
    private byte[] lastKey;
    /** Until when it may stay as it is: connecting, or with a part of an answer. */
    private Deadline limit;

    private boolean partial;
    /** The long value that comes just now; null where none does. */
    private LongValue coming;

    ServerConnection(Loop loop, Passes passes, ApplicationServer server, Link link, long connectNanos)
            throws IOException {
        super(loop, server.address());
        this.passes = passes;
        this.server = server;
        this.link = link;
        limit = loop.after(connectNanos, this::breakOff);
    }

    /** Writes a pass behind what is out, unless it shows that the connection is of no use any more. */
    void carry(Pass pass) {
        if (awaited.isEmpty() && !reading && (used || upAt != loop().now())) {
            // Guards against bytes behind an answer, which would be read as the answer to this pass.
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

    /** Ends it, with all that is out on it. */
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
                // Goes on with the next answer.
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

    /** Whether something whole was taken. */
    private boolean takeOne(ByteBuffer in) throws MalformedException {
        Pass first = awaited.peek();
        if (first == null) {
            throw new MalformedException("an answer to nothing");
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
            // Without a length its end is the connection's: for as long as something comes that may take its time.
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

    /** Guards against a second copy of an answer that is taken as the next one: then one answer too many comes. */
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

    /** Whether an answer has the same bytes as the one before, and is to be told from a copy of that. */
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
        // Freed before the outcome is told, so that what the outcome makes the router send can use it at once.
        passes.tell(connections -> {
            connections.answered(loop().now(), link, reusable, more);
            if (!givenUp) {
                passes.end(pass, reply);
            }
        });
    }

    /** Guards against answers that never end: the pass has failed long before its own time is up. */
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
     * A long value on its way to its user agent. What has come is passed on from the connection's one buffer; while it is
     * not taken, nothing further is read.
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
                by.cut(); // it broke while answers ahead of it were waited for
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

        /** Whether there may be more to take. */
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
                taker = null; // whatever lies behind the value is no matter of its taker
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

        /** Guards against a server that stops within its answer, for as long as it is asked for more. */
        private void awaitMore() {
            loop().cancel(stalled);
            stalled = over ? null : loop().after(STALLED_NANOS, ServerConnection.this::breakOff);
        }

        private void finish() {
            over = true;
            loop().cancel(stalled);
        }

        /** The connection has ended, or what came on it cannot be read. */
        void cut() {
            if (!over) {
                finish();
                if (taker != null) {
                    taker.cut();
                }
            }
        }
    }

    /** What cannot be read may have run; the connection is of no more use. */
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
