package slateseam.simulate.network;

import java.util.Arrays;

/** What goes one way on a connection at once: a part of an array, the connection's opening, its end or a reset. */
final class Segment implements Runnable {
    /** What it carries. */
    enum Kind {
        OPEN,
        DATA,
        END,
        RESET
    }

    final Flow flow;
    final Kind kind;
    final byte[] bytes;
    int from;
    final int to;

    /** Carries bytes. */
    Segment(Flow flow, byte[] bytes, int from, int to) {
        this(flow, Kind.DATA, bytes, from, to);
    }

    /** Carries none. */
    Segment(Flow flow, Kind kind) {
        this(flow, kind, null, 0, 0);
    }

    private Segment(Flow flow, Kind kind, byte[] bytes, int from, int to) {
        this.flow = flow;
        this.kind = kind;
        this.bytes = bytes;
        this.from = from;
        this.to = to;
    }

    int length() {
        return to - from;
    }

    /** Its bytes as an array of their own, which nobody changes. */
    byte[] exact() {
        return from == 0 && to == bytes.length ? bytes : Arrays.copyOfRange(bytes, from, to);
    }

    /** It arrives. */
    @Override
    public void run() {
        flow.arrived(this);
    }
}
