package slateseam.standin.useragent;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import slateseam.standin.Clockwork;
import slateseam.standin.Net;
import slateseam.standin.Party;
import slateseam.standin.Wire;

/**
 * Deals connections out over the routers that are up, in turn. It asks each of them over a connection of its own, and
 * takes one for down that has not answered for a while, and for up as soon as it answers.
 */
public final class Front implements Entry {
    private static final byte[] PING = Command.bytes("*1\r\n$4\r\nPING\r\n");
    private static final long MILLI = 1_000_000L;

    private final Net net;
    private final Clockwork clock;
    private final String address;
    private final long noticeNanos;
    private final long end;
    private final List<Watched> routers = new ArrayList<>();
    private int turn;

    /**
     * Creates it; all routers are held to be up at first.
     *
     * @param address of its machine, without a port
     * @param noticeNanos after so long without an answer a router is taken for down
     * @param end Unix time in nanoseconds, when it stops asking
     */
    public Front(Net net, Clockwork clock, String address, List<String> routers, long noticeNanos, long end) {
        this.net = net;
        this.clock = clock;
        this.address = address;
        this.noticeNanos = noticeNanos;
        this.end = end;
        for (String router : routers) {
            this.routers.add(new Watched(router));
        }
    }

    /** Begins to ask. */
    public void start() {
        routers.forEach(Watched::ask);
    }

    @Override
    public String router() {
        for (int i = 0; i < routers.size(); i++) {
            Watched next = routers.get(turn++ % routers.size());
            if (next.isUp()) {
                return next.router;
            }
        }
        return null;
    }

    private final class Watched implements Party {
        final String router;
        private long answered = clock.now();
        private Wire wire;
        private boolean up;
        private boolean waiting;

        Watched(String router) {
            this.router = router;
        }

        boolean isUp() {
            return clock.now() - answered <= noticeNanos;
        }

        void ask() {
            if (clock.now() >= end) {
                if (wire != null) {
                    wire.end();
                }
                return;
            }
            // A connection on which no answer came is of no use: the router behind it may be a new one.
            if (waiting && wire != null && !isUp()) {
                wire.reset();
                wire = null;
            }
            if (wire == null) {
                waiting = false;
                up = false;
                wire = net.connect(address, router, this);
            } else if (up && !waiting) {
                wire.write(PING);
                waiting = true;
            }
            clock.at(clock.now() + Math.max(50 * MILLI, noticeNanos / 4), this::ask);
        }

        @Override
        public void opened(Wire opened) {
            if (opened == wire) {
                up = true;
                wire.write(PING);
                waiting = true;
            }
        }

        @Override
        public void received(Wire from, byte[] bytes) {
            // The answer to PING is short; of more than its first bytes nothing is needed.
            if (from == wire && Arrays.equals(bytes, 0, 1, Command.bytes("+"), 0, 1)) {
                answered = clock.now();
                waiting = false;
            }
        }

        @Override
        public void ended(Wire from) {
            from.end();
            broken(from);
        }

        @Override
        public void broken(Wire from) {
            if (from == wire) {
                wire = null;
            }
        }
    }
}
