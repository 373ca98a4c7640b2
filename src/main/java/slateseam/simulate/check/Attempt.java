package slateseam.simulate.check;

/** A request as a router wrote it to a server, whole. */
final class Attempt {
    /** What has come back for it, as far as the router can know. */
    enum Outcome {
        /** Nothing yet, or it may have run. */
        MAYBE,
        /** Proof that it never had an effect. */
        NEVER
    }

    /** Null for a probe, and for a request that nobody asked. */
    final Asked asked;

    final PassWire wire;
    /** When its last byte was taken by the router's system. */
    final long wholeAt;
    /** The place in the router's stream behind its last byte. */
    final long end;

    Outcome outcome = Outcome.MAYBE;
    boolean answered;

    Attempt(Asked asked, PassWire wire, long wholeAt, long end) {
        this.asked = asked;
        this.wire = wire;
        this.wholeAt = wholeAt;
        this.end = end;
    }

    /** Whether an answer could still come to the router, or the server could still be waiting for its end. */
    boolean isOut() {
        return !answered && !wire.isOver();
    }
}
