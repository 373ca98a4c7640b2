package slateseam.router.pass;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import slateseam.decision.Api.Outcome;
import slateseam.router.connections.servers.Link;
import slateseam.router.net.Clock;
import slateseam.router.net.Connection;
import slateseam.router.net.Deadlines.Deadline;
import slateseam.router.net.Loop;
import slateseam.router.net.MalformedException;

/** A connection to a server. It carries proxy passes in order and tells the passes' table what happens to it. */
final class ServerConnection extends Connection {
    /** For the rest of an answer once a part has come: less than an aim, so that there is time for another pass. */
    private static final long REST_NANOS = 250 * Clock.MILLI;

    /** What is to be answered, perhaps with a fence behind it. */
    private record Awaited(Pass pass, boolean fenced) {
    }

    private final Passes passes;
    private final ApplicationServer server;
    private final Link link;
    private final Deque<Awaited> awaited = new ArrayDeque<>();
    private boolean up;
    private long upAt;
    private boolean reading;
    /** The answer of what is first, until its fence is answered too; null if none has come. */
    private ServerProtocol.Reply held;
    /** Until when it may stay as it is: connecting, or with a part of an answer. */
    private Deadline limit;
    private boolean partial;

    ServerConnection(Loop loop, Passes passes, ApplicationServer server, Link link, long connectNanos)
            throws IOException {
        super(loop, server.address());
        this.passes = passes;
        this.server = server;
        this.link = link;
        limit = loop.after(connectNanos, this::breakOff);
    }

    /** Writes a pass behind what is out, unless it shows that the connection is of no use any more. */
    void carry(Pass pass, boolean fence) {
        if (awaited.isEmpty() && !reading && upAt != loop().now()) {
            // Guards against bytes behind an answer, which would be read as the answer to this pass.
            poll();
        }
        if (isClosed()) {
            return;
        }
        pass.begin();
        awaited.add(new Awaited(pass, fence));
        long wait = Math.max(1, Clock.millisUp(pass.endsAt - loop().now()));
        ServerProtocol protocol = server.protocol();
        List<ByteBuffer> bytes = new ArrayList<>(
                List.of(pass.isProbe() ? protocol.probe() : protocol.command(pass.request, wait)));
        if (fence) {
            bytes.add(protocol.fence());
        }
        write(bytes.toArray(new ByteBuffer[0]));
    }

    /** Ends it, with all that is out on it. */
    void end() {
        loop().cancel(limit);
        close();
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
        awaited.forEach(a -> a.pass.markWritten());
    }

    @Override
    protected void received(ByteBuffer in) throws MalformedException {
        reading = true;
        try {
            while (!isClosed() && takeOne(in) && in.hasRemaining()) {
                // Goes on with the next answer.
            }
        } finally {
            reading = false;
        }
    }

    /** Whether something whole was taken. */
    private boolean takeOne(ByteBuffer in) throws MalformedException {
        Awaited first = awaited.peek();
        if (first == null) {
            throw new MalformedException("an answer to nothing");
        }
        if (held == null) {
            ServerProtocol protocol = server.protocol();
            held = first.pass.isProbe() ? protocol.probeReply(in) : protocol.reply(in);
            awaitRest(held == null ? in.hasRemaining() : first.fenced);
            if (held != null && first.fenced && !held.reusable()) {
                throw new MalformedException("an answer whose end is not known, where that matters");
            }
            if (held != null && !first.fenced) {
                answered(in.hasRemaining());
            }
            return held != null || awaited.peek() != first;
        }
        // Guards against bytes that belong to an earlier answer: behind those comes an answer, not the fence's.
        boolean passed = server.protocol().passFence(in);
        if (passed) {
            awaitRest(false);
            answered(in.hasRemaining());
        }
        return passed;
    }

    private void answered(boolean more) {
        Pass pass = awaited.remove().pass;
        ServerProtocol.Reply reply = held;
        held = null;
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
            limit = loop().after(REST_NANOS, () -> malformed(new MalformedException("the rest of an answer did not come")));
        } else if (!begun && partial) {
            loop().cancel(limit);
        }
        partial = begun;
    }

    /** What cannot be read may have run; the connection is of no more use. */
    @Override
    protected void malformed(MalformedException e) {
        loop().log().line("server-malformed", server.address() + ": " + e.getMessage());
        Awaited first = awaited.peek();
        passes.tell(connections -> {
            if (first == null) {
                connections.noise(loop().now(), link);
                return;
            }
            boolean givenUp = first.pass.isGivenUp();
            connections.spoilt(loop().now(), link);
            if (!givenUp) {
                passes.end(first.pass, new ServerProtocol.Reply(Outcome.SPOILT));
            }
        });
    }

    @Override
    protected void broken() {
        loop().cancel(limit);
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
