package slateseam.router.pass;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
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

    /** What is to be answered: a pass, or with none a fence. */
    private record Awaited(Pass pass) {
    }

    private static final Awaited FENCE = new Awaited(null);

    private final Passes passes;
    private final ApplicationServer server;
    private final Link link;
    private final Deque<Awaited> awaited = new ArrayDeque<>();
    private boolean up;
    private long upAt;
    private boolean reading;
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
        if (fence) {
            awaited.add(FENCE);
            write(server.protocol().fence());
        }
        awaited.add(new Awaited(pass));
        long wait = Math.max(1, Clock.millisUp(pass.endsAt - loop().now()));
        write(pass.isProbe() ? server.protocol().probe() : server.protocol().command(pass.request, wait));
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
        awaited.stream().filter(a -> a != FENCE).forEach(a -> a.pass.markWritten());
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
        ServerProtocol protocol = server.protocol();
        if (first == FENCE) {
            boolean passed = protocol.passFence(in);
            awaitRest(!passed && in.hasRemaining());
            if (passed) {
                awaited.remove();
            }
            return passed;
        }
        Pass pass = first.pass;
        ServerProtocol.Reply reply = pass.isProbe() ? protocol.probeReply(in) : protocol.reply(in);
        awaitRest(reply == null && in.hasRemaining());
        if (reply == null) {
            return false;
        }
        awaited.remove();
        boolean givenUp = pass.isGivenUp();
        boolean reusable = reply.reusable() && pass.isWritten();
        boolean more = in.hasRemaining();
        // Freed before the outcome is told, so that what the outcome makes the router send can use it at once.
        passes.tell(connections -> {
            connections.answered(loop().now(), link, reusable, more);
            if (!givenUp) {
                passes.end(pass, reply);
            }
        });
        return true;
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
            if (first == null || first == FENCE) {
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
