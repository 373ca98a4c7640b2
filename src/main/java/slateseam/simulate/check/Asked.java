package slateseam.simulate.check;

import java.util.ArrayList;
import java.util.List;

/** A request as it was written to a router, until long after its answer. */
final class Asked {
    /** What is owed for it. */
    enum State {
        /** An answer. */
        OPEN,
        /** Nothing: it had its one answer. */
        ANSWERED,
        /** Nothing: its user agent left, or its router was killed, or the router's close crossed it. */
        VOID
    }

    final String id;
    final Passed asked;
    final Figures.ClassFigures figures;
    /** How long its user agent waits, from its last byte. */
    final long waitNanos;
    /** When its last byte was written. */
    final long writtenAt;
    /** The place in the user agent's stream behind its last byte. */
    final long end;

    final long bytes;
    final UserWire wire;
    final List<Attempt> attempts = new ArrayList<>(2);
    State state = State.OPEN;
    /** Whether the router has taken its last byte from its system. */
    boolean read;

    long readAt;
    long endedAt;
    /** When its user agent went away, where the router will hear of that at once; 0 if it did not. */
    long leftAt;

    long heldBytes;
    /** Whether its lateness was reported. */
    boolean late;
    /** Whether it was counted as one that had no answer when its time was up. */
    boolean countedUnanswered;
    /** One of the same id that was read while this was open. */
    Asked second;
    /** How many attempts came to servers whole. */
    int came;

    Asked(
            Passed asked,
            Figures.ClassFigures figures,
            long waitNanos,
            long writtenAt,
            long end,
            long bytes,
            UserWire wire) {
        this.id = asked.id();
        this.asked = asked;
        this.figures = figures;
        this.waitNanos = waitNanos;
        this.writtenAt = writtenAt;
        this.end = end;
        this.bytes = bytes;
        this.wire = wire;
    }

    boolean isOpen() {
        return state == State.OPEN;
    }

    void end(State how, long now) {
        if (state == State.OPEN) {
            state = how;
            endedAt = now;
        }
    }
}
