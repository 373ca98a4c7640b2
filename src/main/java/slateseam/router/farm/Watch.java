package slateseam.router.farm;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.json.JSONException;
import org.json.JSONObject;
import slateseam.decision.Api.MembersChanged;
import slateseam.router.net.Bytes;
import slateseam.router.net.Clock;
import slateseam.router.net.Connection;
import slateseam.router.net.Deadlines.Deadline;
import slateseam.router.net.HttpReply;
import slateseam.router.net.Loop;
import slateseam.router.net.MalformedException;

/** Watches discovery: one call is always out, the next follows each answer at once; a call that fails is made anew. */
public final class Watch implements FarmSource {
    private static final long WAIT_MILLIS = 5_000;
    /** Beyond its wait an answer is late: the connection may be dead, so a new one is tried. */
    private static final long LATE_MILLIS = 1_000;
    private static final long RETRY_MILLIS = 50;
    /**
     * Between two tries at one that is not there, however many have failed. A try that is refused costs nobody anything, and
     * what discovery has to tell counts as told from the moment when it is there again: a drain has to be kept 500 ms later.
     */
    private static final long MOST_AWAY_MILLIS = 200;
    /** Between two tries at one that is there and has too much to do. */
    private static final long MOST_BUSY_MILLIS = 1_000;

    /** Why a call has failed, by which the next one waits. */
    private enum Failure {
        /** It has had all the time that it may have: that is what bounds how often it is asked. */
        SILENT(RETRY_MILLIS),
        /** No connection came up. */
        AWAY(MOST_AWAY_MILLIS),
        /** It took the call and gave no list. */
        BUSY(MOST_BUSY_MILLIS);

        private final long mostMillis;

        Failure(long mostMillis) {
            this.mostMillis = mostMillis;
        }
    }

    private final Loop loop;
    private final Farm farm;
    private final Consumer<MembersChanged> listener;
    private InetSocketAddress discovery;
    private final SplittableRandom random;
    private int failures;
    private boolean begun;
    private boolean listed;
    /** The call that is out; null while the next one waits its time. */
    private Call call;
    /** When the call that is out is late, or else when the next one begins. */
    private Deadline next;

    /** Creates a watch that reports what changed; the seed is that of the waits between tries. */
    public Watch(Loop loop, InetSocketAddress discovery, Farm farm, long seed, Consumer<MembersChanged> listener) {
        this.random = new SplittableRandom(seed);
        this.loop = loop;
        this.discovery = discovery;
        this.farm = farm;
        this.listener = listener;
    }

    /** Begins, with the whole list first; a watch that goes on already is left alone. */
    @Override
    public void begin() {
        if (!begun) {
            begun = true;
            connect();
        }
    }

    /**
     * Goes on at another address, at once. What the old address told keeps its worth until the new one's whole list
     * replaces it; its version does not, as each address counts for itself.
     */
    public void moveTo(InetSocketAddress address) {
        if (address.equals(discovery)) {
            return;
        }
        discovery = address;
        listed = false;
        if (begun) {
            if (call != null) {
                call.close();
            }
            connect();
        }
    }

    private void connect() {
        try {
            call = new Call();
            lateAfter(LATE_MILLIS);
        } catch (IOException e) {
            failed(Failure.AWAY, e.toString());
        }
    }

    private void lateAfter(long millis) {
        loop.cancel(next);
        next = loop.after(millis * Clock.MILLI, this::tooLate);
    }

    private void tooLate() {
        call.close();
        failed(Failure.SILENT, "no answer in time");
    }

    private void failed(Failure failure, String why) {
        call = null;
        loop.cancel(next);
        loop.log().line("farm-unreachable", why);
        next = loop.after(waitNanos(failure), this::connect);
    }

    /**
     * The first try again is soon. Guards a discovery that is busy against many routers that come back together, again and
     * again: from then on the waits grow and are drawn.
     */
    private long waitNanos(Failure failure) {
        long most = Math.min(failure.mostMillis, RETRY_MILLIS << Math.min(failures, 10)) * Clock.MILLI;
        failures++;
        return failures == 1 ? most : most / 2 + random.nextLong(most / 2 + 1);
    }

    private final class Call extends Connection {
        private boolean up;

        Call() throws IOException {
            super(loop, discovery);
        }

        @Override
        protected void connected() {
            up = true;
            ask();
        }

        private void ask() {
            // Only a call that may wait is given the wait: a whole list comes at once or not at all.
            lateAfter(listed ? WAIT_MILLIS + LATE_MILLIS : LATE_MILLIS);
            String query = listed ? "?index=" + farm.version() + "&wait=" + WAIT_MILLIS : "";
            String head = "GET /api/targets" + query + " HTTP/1.1\r\nHost: " + discovery.getHostString() + "\r\n\r\n";
            write(ByteBuffer.wrap(Bytes.of(head)));
        }

        @Override
        protected void received(ByteBuffer in) throws MalformedException {
            HttpReply reply = HttpReply.read(in);
            if (reply == null) {
                return;
            }
            if (reply.status() != 200) {
                // It is too busy, or down: what it told before still counts, and so does its version.
                close();
                failed(Failure.BUSY, "status " + reply.status());
                return;
            }
            MembersChanged changed = read(reply);
            failures = 0;
            listed = true;
            if (reply.keepsAlive()) {
                ask();
            } else {
                close();
                connect();
            }
            listener.accept(changed);
        }

        private MembersChanged read(HttpReply reply) throws MalformedException {
            try {
                return farm.take(new JSONObject(new String(reply.body(), StandardCharsets.UTF_8)), false);
            } catch (JSONException e) {
                throw new MalformedException(e.getMessage());
            }
        }

        /** What cannot be read is dropped; a new call asks for the whole list. */
        @Override
        protected void malformed(MalformedException e) {
            loop.log().line("farm-malformed", e.getMessage());
            listed = false;
            close();
            failed(Failure.BUSY, "the answer was dropped");
        }

        @Override
        protected void broken() {
            failed(up ? Failure.BUSY : Failure.AWAY, "the connection broke");
        }
    }
}
