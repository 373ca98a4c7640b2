package slateseam.decision;

import slateseam.decision.Api.Member;

/** A cache server or the origin: its entry in the member list and its health as this router sees it. */
final class UpstreamServer extends Health {
    /** The failure score from which a server is ejected. */
    static final int EJECTION_THRESHOLD = 4;
    /** The window of a server about which nothing is known yet. */
    static final double INITIAL_WINDOW = 8;
    /**
     * The longest silence, in nanoseconds beyond the connection time-out, that a pause of the server's process may
     * explain.
     */
    static final long MAX_PAUSE_NANOS = Timing.SECOND / 2;
    /** The length of a first ejection as a multiple of the shortest aim of the request classes. */
    private static final long FIRST_EJECTION_AIMS = 2;

    /** The latest entry of the member list. */
    Member member;

    /** The time until which idle connections are closed because the server refused a connection. */
    long closeIdleUntil;
    /** Limits the requests of this router while the server's cache is cold. */
    final ColdBucket coldBucket;

    private final DecisionContext context;

    UpstreamServer(Member member, DecisionContext context) {
        super(INITIAL_WINDOW, firstEjectionNanos(context));
        this.member = member;
        this.context = context;
        coldBucket = new ColdBucket(context.unitOf(member.id()));
    }

    /** Returns the length of a first ejection in nanoseconds. */
    static long firstEjectionNanos(DecisionContext context) {
        return FIRST_EJECTION_AIMS * context.shortestAim();
    }

    long id() {
        return member.id();
    }

    /** Whether the member list has the server as ready. */
    boolean isReady() {
        return member.isReady();
    }

    boolean isOrigin() {
        return member.kind() == context.settings().originKind();
    }

    /**
     * Whether requests may be sent to the server. As the member list may be stale and list a dead server as ready, a
     * server whose ejection has ended gets a single trial request first.
     */
    boolean isUsable() {
        return isReady() && (failureScore < EJECTION_THRESHOLD || isTrialDue());
    }

    /** Whether this is a listed cache server that gets no requests now. */
    boolean isAvoided() {
        return !isOrigin() && !member.isGone() && !isUsable();
    }

    /** Whether an ejected server may get a trial request: its ejection has ended and no attempt is outstanding. */
    boolean isTrialDue() {
        return outstanding == 0 && context.now() >= ejectedUntil;
    }

    /** Whether the server has not responded for longer than the connection time-out. */
    boolean isSilent() {
        return silenceNanos(context.now()) > connectTimeoutNanos();
    }

    /** Whether the server has not responded for longer than a pause of its process could explain. */
    boolean isDead() {
        return silenceNanos(context.now()) > MAX_PAUSE_NANOS + connectTimeoutNanos();
    }

    /**
     * Whether an attempt that ends now was probably sent while the first connections to the server were being set up.
     *
     * @param duration the duration of the attempt in nanoseconds
     */
    boolean sentDuringConnect(long duration) {
        long connectNanos = MAX_PAUSE_NANOS + connectTimeoutNanos();
        long now = context.now();
        return firstAnswerAt == 0 ? now - firstSentAt <= connectNanos : now - duration < firstAnswerAt;
    }

    private long connectTimeoutNanos() {
        return context.settings().limits().connectTimeoutNanos();
    }
}
