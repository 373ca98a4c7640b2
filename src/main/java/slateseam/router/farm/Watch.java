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

/**
 * Watches discovery: one call is always out, the next follows each answer at once; a call that fails is made anew.
 *
 * <p>Whatever fails, a change counts as told {@link #TOLD_MILLIS} after discovery had it and could be reached. A watch that falls
 * silent as it begins, and whose next two calls fail too, has told it after {@code WAIT + LATE + 2 * AT_ONCE} and the waits
 * between them, which are {@code RETRY} and twice that ({@link #longestMillis}). That leaves the grace of a drain to others.
 */
public final class Watch implements FarmSource {
    /** So long after discovery had it a change counts as told, though a call has failed. */
    static final long TOLD_MILLIS = 6_000;

    private static final long WAIT_MILLIS = 2_500;
    /** Beyond its wait an answer is late: the connection may be dead, so a new one is tried. */
    private static final long LATE_MILLIS = 500;
    /** For a call that is answered at once or not at all, with what its connection takes to come up. */
    private static final long AT_ONCE_MILLIS = 1_000;
    /** For the first call of all, for which a router that starts waits: an agent that is there answers at once. */
    private static final long FIRST_MILLIS = 500;

    private static final long RETRY_MILLIS = 50;
    /** So many lists in a row that are older than the one held show that discovery counts anew. */
    private static final int OLDER = 3;
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
    /** Is called when the first call has ended, however it did; null from then on. */
    private Runnable firstEnded;

    private boolean listed;
    /** Lists in a row that were older than the one held. */
    private int older;
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

    /** Calls back once, when the first call is answered or has failed. */
    public void whenFirstEnds(Runnable action) {
        firstEnded = action;
    }

    private void firstEnds() {
        Runnable action = firstEnded;
        firstEnded = null;
        if (action != null) {
            action.run();
        }
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
        failures = 0; // they were the other address's
        if (begun) {
            if (call != null) {
                call.close();
            }
            connect();
        }
    }

    /** From a change that a watch missed to when it is known here, though two more calls have failed as late as they can. */
    static long longestMillis() {
        return WAIT_MILLIS + LATE_MILLIS + 2 * AT_ONCE_MILLIS + RETRY_MILLIS + 2 * RETRY_MILLIS;
    }

    private void connect() {
        connect(false);
    }

    private void connect(boolean proven) {
        try {
            call = new Call(proven);
            lateAfter(firstEnded == null ? AT_ONCE_MILLIS : FIRST_MILLIS);
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
        firstEnds();
    }

    /**
     * The first try again is soon. Guards a discovery that is busy against many routers that come back together, again and
     * again: all waits are drawn, and they grow.
     */
    private long waitNanos(Failure failure) {
        long most = Math.min(failure.mostMillis, RETRY_MILLIS << Math.min(failures, 10)) * Clock.MILLI;
        failures++;
        return most / 2 + random.nextLong(most / 2 + 1);
    }

    private final class Call extends Connection {
        private boolean up;
        /** Whether the call before this one was answered, so that the next may wait for what changes. */
        private boolean proven;

        Call(boolean proven) throws IOException {
            super(loop, discovery);
            this.proven = proven;
        }

        @Override
        protected void connected() {
            up = true;
            ask();
        }

        /**
         * The first call after a failure does not wait: it is answered at once or has failed, and brings what the call before it
         * missed. Guards against one failure after another, each noticed only when a whole wait is over.
         */
        private void ask() {
            long wait = proven ? WAIT_MILLIS : 1;
            if (proven) {
                lateAfter(WAIT_MILLIS + LATE_MILLIS);
            }
            String query = listed ? "?index=" + farm.version() + "&wait=" + wait : "";
            String head = "GET /api/targets" + query + " HTTP/1.1\r\nHost: " + discovery.getHostString() + "\r\n\r\n";
            write(ByteBuffer.wrap(Bytes.of(head)));
        }

        @Override
        protected void received(ByteBuffer in) throws MalformedException {
            HttpReply reply = HttpReply.read(in);
            if (reply != null) {
                answered(reply);
            }
        }

        @Override
        protected void ended(ByteBuffer left) throws MalformedException {
            HttpReply reply = HttpReply.readAtEnd(left);
            if (reply != null) {
                answered(reply);
            }
        }

        private void answered(HttpReply reply) throws MalformedException {
            if (reply.status() != 200) {
                // It is too busy, or down: what it told before still counts, and so does its version.
                close();
                failed(Failure.BUSY, "status " + reply.status());
                return;
            }
            JSONObject list = parse(reply);
            if (listed && list.optLong("seq") < farm.version() && ++older < OLDER) {
                // Guards a drain that is known against a list of before it.
                close();
                failed(Failure.BUSY, "a list older than the one in use");
                return;
            }
            MembersChanged changed = farm.take(list, false);
            failures = 0;
            older = 0;
            listed = true;
            proven = true;
            if (reply.keepsAlive()) {
                ask();
            } else {
                close();
                connect(true);
            }
            listener.accept(changed);
            firstEnds();
        }

        private static JSONObject parse(HttpReply reply) throws MalformedException {
            try {
                return new JSONObject(new String(reply.body(), StandardCharsets.UTF_8));
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
