package slateseam.router.pass;

import java.io.IOException;
import java.nio.ByteBuffer;
import slateseam.decision.Api.Outcome;
import slateseam.router.net.Clock;
import slateseam.router.net.Connection;
import slateseam.router.net.Deadlines.Deadline;
import slateseam.router.net.Loop;
import slateseam.router.net.MalformedException;

/** A connection to a server; it carries one proxy pass at a time. */
final class ServerConnection extends Connection {
    /** For the rest of an answer once a part has come: less than an aim, so that there is time for another pass. */
    private static final long REST_NANOS = 250 * Clock.MILLI;

    private final ApplicationServer server;
    private boolean up;
    private Pass current;
    /** Until when it may stay as it is: connecting, settling, idle, or with a part of an answer. */
    private Deadline limit;
    private boolean partial;
    private long idleSince;

    ServerConnection(Loop loop, ApplicationServer server, long connectNanos) throws IOException {
        super(loop, server.address());
        this.server = server;
        limit = loop.after(connectNanos, this::breakOff);
    }

    /** Closes it after so long without a pass. */
    void rest(long idleNanos) {
        idleSince = loop().now();
        limitAfter(idleNanos, this::giveUp);
    }

    long idleSince() {
        return idleSince;
    }

    /** Goes on after so long, if nothing has come until then. */
    void settle(long nanos) {
        limitAfter(nanos, () -> {
            if (isQuiet()) {
                server.settled(this);
            }
        });
    }

    /**
     * Whether nothing has come since the last answer; else it is closed. Guards against bytes behind an answer, which
     * would be read as the answer to the next request.
     */
    boolean isQuiet() {
        poll();
        return !isClosed();
    }

    private void limitAfter(long nanos, Runnable action) {
        loop().cancel(limit);
        limit = loop().after(nanos, action);
    }

    void carry(Pass pass) {
        loop().cancel(limit);
        current = pass;
        pass.connection = this;
        long wait = Math.max(1, Clock.millisUp(pass.endsAt - loop().now()));
        write(pass.isProbe() ? server.protocol().probe() : server.protocol().command(pass.request, wait));
    }

    /** Gives up itself, and so the pass that it carries, if any: that answer would come before any other. */
    void giveUp() {
        loop().cancel(limit);
        current = null;
        close();
        server.lost(this);
    }

    @Override
    protected void connected() {
        up = true;
        loop().cancel(limit);
        server.connected(this);
    }

    @Override
    protected void written() {
        if (current != null) {
            current.written = true;
        }
    }

    @Override
    protected void received(ByteBuffer in) throws MalformedException {
        if (current == null) {
            throw new MalformedException("an answer to nothing");
        }
        ServerProtocol protocol = server.protocol();
        ServerProtocol.Reply reply = current.isProbe() ? protocol.probeReply(in) : protocol.reply(in);
        if (reply == null) {
            awaitRest(in.hasRemaining());
            return;
        }
        awaitRest(false);
        Pass done = current;
        current = null;
        // Freed before the outcome is told, so that what the outcome makes the router send can use it at once.
        if (reply.reusable() && done.written && !in.hasRemaining()) {
            server.free(this);
        } else {
            giveUp();
        }
        server.ended(done, reply);
    }

    /** Guards against answers that never end: the pass has failed long before its own time is up. */
    private void awaitRest(boolean begun) {
        if (begun && !partial) {
            limitAfter(REST_NANOS, () -> malformed(new MalformedException("the rest of an answer did not come")));
        } else if (!begun && partial) {
            loop().cancel(limit);
        }
        partial = begun;
    }

    /** What cannot be read may have run; the connection is of no more use. */
    @Override
    protected void malformed(MalformedException e) {
        loop().log().line("server-malformed", server.address() + ": " + e.getMessage());
        Pass spoilt = current;
        giveUp();
        if (spoilt != null) {
            server.ended(spoilt, new ServerProtocol.Reply(Outcome.SPOILT));
        }
    }

    @Override
    protected void broken() {
        loop().cancel(limit);
        Pass cut = current;
        current = null;
        server.lost(this);
        if (!up) {
            server.connectFailed(Outcome.CONNECT_FAILED);
        } else if (cut != null) {
            server.ended(cut, new ServerProtocol.Reply(cut.written ? Outcome.RESET : Outcome.CONNECT_FAILED));
        }
    }
}
