package slateseam.simulate.network;

import java.util.ArrayDeque;

/**
 * One direction of a connection. The sender's system holds what has not been brought over, up to its buffer; on the
 * wire and unread at the receiver lies at most a window. The receiver's system tells the sender how far it is only when
 * that
 * can matter, so that small messages cost one happening each.
 */
final class Flow {
    /** Above what one packet carries, so that long values cost few happenings. */
    private static final int MOST_PIECE = 64 * 1024;

    private static final int FEW = 4;
    /** A sender that tries again after a silence waits for longer the longer that took, but not for ever. */
    private static final long MOST_RESUME = 2_000_000_000L;

    private final VirtualNetwork net;
    private final End from;
    private final int window;
    private final int buffer;
    /** Null until the other side exists. */
    private End to;

    private final ArrayDeque<Segment> queued = new ArrayDeque<>(FEW);
    private final ArrayDeque<Segment> input = new ArrayDeque<>(FEW);
    /** What reached a closed path, and all behind it. */
    private final ArrayDeque<Segment> stalled = new ArrayDeque<>(0);

    private long stalledSince;
    private long written;
    private long sent;
    private long arrived;
    private long taken;
    /** What the sender's system knows of the two above. */
    private long knownArrived;

    private long knownTaken;
    private boolean telling;
    private boolean tellHeld;
    private long toldArrived;
    private long toldTaken;
    private long lastArrival;
    private boolean full;
    private boolean endSent;
    private boolean endArrived;
    private boolean destroyed;

    Flow(VirtualNetwork net, End from) {
        this.net = net;
        this.from = from;
        this.window = net.conditions().streams().window();
        this.buffer = net.conditions().streams().sendBuffer();
    }

    void leadsTo(End other) {
        to = other;
    }

    /** How many bytes the sender's system still takes. */
    int room() {
        return (int) Math.max(0, buffer - (written - knownArrived));
    }

    /** Whether a writer that found too little room has to wait. */
    boolean isFull() {
        return full;
    }

    void filled() {
        full = true;
        tell();
    }

    /** Bytes written that have not reached the other side's system. */
    long unsent() {
        return written - arrived;
    }

    void write(byte[] bytes) {
        written += bytes.length;
        queued.add(new Segment(this, bytes, 0, bytes.length));
        push();
    }

    void end() {
        queued.add(new Segment(this, Segment.Kind.END));
        push();
    }

    /** Whether the end has gone out behind all that was written. */
    boolean isEndSent() {
        return endSent;
    }

    /** The first segment, which opens the connection at the other side; what was written before follows. */
    void open() {
        launch(new Segment(this, Segment.Kind.OPEN), 0);
        push();
    }

    /** Breaks it off: what has not gone out never will, and what is on its way may be lost. */
    void reset() {
        boolean destroys = from.machine().draws(net.conditions().streams().resetDestroys());
        abandon(destroys);
        if (to != null) {
            launch(new Segment(this, Segment.Kind.RESET), 0);
        }
    }

    /** Nobody sends again what is held or lost on its way. */
    void abandon(boolean destroys) {
        destroyed |= destroys;
        queued.clear();
        stalled.clear();
    }

    /** Puts on the wire what the window lets through; not so little that it would go byte by byte. */
    void push() {
        while (from.isUp() && !queued.isEmpty()) {
            Segment first = queued.peek();
            if (first.kind == Segment.Kind.DATA) {
                int credit = (int) (window - (sent - knownTaken));
                if (credit <= 0 || credit < Math.min(first.length(), window / 4)) {
                    return;
                }
                sendSome(first, Math.min(credit, first.length()));
                if (first.length() > 0) {
                    continue;
                }
            } else {
                endSent = true;
                launch(first, 0);
            }
            queued.poll();
        }
        if (endSent) {
            from.settle();
        }
    }

    private void sendSome(Segment segment, int length) {
        Machine machine = from.machine();
        Conditions.Streams streams = net.conditions().streams();
        long gap = 0;
        for (int left = length; left > 0; ) {
            int piece = Math.min(left, MOST_PIECE);
            if (machine.draws(streams.split())) {
                piece = machine.part(piece);
            }
            launch(new Segment(this, segment.bytes, segment.from, segment.from + piece), gap);
            segment.from += piece;
            sent += piece;
            left -= piece;
            gap += left > 0 ? machine.upTo(streams.gap()) : 0;
        }
    }

    private void launch(Segment segment, long later) {
        lastArrival = Math.max(lastArrival, net.now() + later + net.paths().delay(from.machine(), to.machine()));
        net.at(lastArrival, segment);
    }

    /** Something has come to the end of the path. */
    void arrived(Segment segment) {
        if (segment.kind == Segment.Kind.RESET) {
            if (!net.paths().isClosed(from.machine(), to.machine())) {
                stalled.clear();
                handle(segment);
            }
        } else if (!stalled.isEmpty() || net.paths().isClosed(from.machine(), to.machine())) {
            if (!isLost(segment)) {
                if (stalled.isEmpty()) {
                    stalledSince = net.now();
                    net.stalled(this);
                }
                stalled.add(segment);
            }
        } else {
            handle(segment);
        }
    }

    private boolean isLost(Segment segment) {
        return destroyed && (segment.kind == Segment.Kind.DATA || segment.kind == Segment.Kind.END);
    }

    private void handle(Segment segment) {
        if (isLost(segment)) {
            return;
        }
        net.digest().add(net.now(), from.number(), Digest.ACCEPTED + segment.kind.ordinal(), segment.length());
        switch (segment.kind) {
            case OPEN -> to.opened();
            case RESET -> to.wasReset(destroyed);
            case END -> {
                if (to.isGone()) {
                    to.refuse();
                } else {
                    endArrived = true;
                    to.inputChanged();
                    to.settle();
                }
            }
            case DATA -> {
                if (to.isClosed()) {
                    to.refuse();
                } else {
                    net.digest().add(segment.bytes, segment.from, segment.to);
                    arrived += segment.length();
                    input.add(segment);
                    to.inputChanged();
                    tell();
                }
            }
        }
    }

    /** Whether the path is open again for what was stalled on it. */
    boolean mayResume() {
        return !net.paths().isClosed(from.machine(), to.machine());
    }

    /** The path has opened: the sender finds out when it tries again. */
    void resumeSoon() {
        long wait = from.machine().upTo(Math.min(MOST_RESUME, net.now() - stalledSince));
        net.at(net.now() + wait + net.paths().delay(from.machine(), to.machine()), this::resume);
    }

    private void resume() {
        if (!mayResume()) {
            net.stalled(this);
            return;
        }
        // Those that come behind while these are handled are later happenings, so the order is kept.
        ArrayDeque<Segment> all = stalled.clone();
        stalled.clear();
        all.forEach(this::handle);
        if (tellHeld) {
            tellHeld = false;
            tellNow();
        }
    }

    /** Tells the sender how far the receiver is, if the sender may be waiting for that. */
    private void tell() {
        boolean matters = 4 * (sent - knownTaken) >= window || 4 * (written - knownArrived) >= buffer;
        if (matters && !telling && (arrived != knownArrived || taken != knownTaken)) {
            telling = true;
            tellNow();
        }
    }

    private void tellNow() {
        toldArrived = arrived;
        toldTaken = taken;
        net.at(net.now() + net.paths().delay(to.machine(), from.machine()), this::told);
    }

    private void told() {
        if (net.paths().isClosed(from.machine(), to.machine())) {
            if (stalled.isEmpty()) {
                stalledSince = net.now();
                net.stalled(this);
            }
            tellHeld = true;
            return;
        }
        telling = false;
        knownArrived = toldArrived;
        knownTaken = toldTaken;
        if (from.isGone()) {
            return;
        }
        push();
        if (full && room() >= Math.max(1, buffer / 3)) {
            full = false;
            from.roomCame();
        }
        tell();
    }

    /** What has come and not been taken. */
    int unread() {
        return (int) (arrived - taken);
    }

    boolean isEndArrived() {
        return endArrived;
    }

    /** Takes the next piece whole; null if there is none. */
    Segment take() {
        Segment next = input.poll();
        if (next != null) {
            taken += next.length();
            tell();
        }
        return next;
    }

    /** Takes so many bytes, which must have come, into an array. */
    byte[] take(int length) {
        byte[] bytes = new byte[length];
        for (int at = 0; at < length; ) {
            Segment first = input.peek();
            int part = Math.min(length - at, first.length());
            System.arraycopy(first.bytes, first.from, bytes, at, part);
            first.from += part;
            at += part;
            if (first.length() == 0) {
                input.poll();
            }
        }
        taken += length;
        tell();
        return bytes;
    }

    /** Throws away what has come and not been taken. */
    void dropInput() {
        input.clear();
        taken = arrived;
    }
}
