package slateseam.decision;

import slateseam.decision.Api.Member;

/** A cache server or the origin: its entry in the member list, and its health as far as this router can tell. */
final class UpstreamServer extends Health {
    /** A weighted row of failures that ejects. */
    static final int FAILURES = 4;
    /** Requests out before anything is known of a server. */
    static final double START_WINDOW = 8;
    /** Silence beyond a connection time that may be a pause. */
    static final long HICCUP = Timing.SECOND / 2;
    /** The first ejection, by the shortest aim. */
    private static final long EJECTION_AIMS = 2;

    Member member;
    /** Until when idle connections are closed, since it refused one. */
    long crowdedUntil;
    /** What this router may send while the server's cache is cold. */
    final ColdBucket coldBucket;

    private final DecisionContext context;

    UpstreamServer(Member member, DecisionContext context) {
        super(START_WINDOW, firstEjection(context));
        this.member = member;
        this.context = context;
        coldBucket = new ColdBucket(context.unitOf(member.id()));
    }

    /** How long a first ejection lasts. */
    static long firstEjection(DecisionContext context) {
        return EJECTION_AIMS * context.shortestAim();
    }

    long id() {
        return member.id();
    }

    boolean ready() {
        return member.isReady();
    }

    boolean isOrigin() {
        return member.kind() == context.settings().originKind();
    }

    /** Guards against dead members behind a stale list: after an ejection one request tries it. */
    boolean usable() {
        return ready() && (failures < FAILURES || triable());
    }

    boolean isAvoided() {
        return !isOrigin() && !member.isGone() && !usable();
    }

    /** Whether an ejected server may be tried with one request. */
    boolean triable() {
        return outstanding == 0 && context.now() >= ejectedUntil;
    }

    /** Whether nothing has come back for longer than a connection may take to come up. */
    boolean silent() {
        return silentFor(context.now()) > connectTimeout();
    }

    /** Whether it has been silent for longer than a pause of its process explains. */
    boolean dead() {
        return silentFor(context.now()) > HICCUP + connectTimeout();
    }

    /** Whether an attempt went out while first connections came up, as far as one can tell. */
    boolean early(long duration) {
        long most = HICCUP + connectTimeout();
        long now = context.now();
        return provenAt == 0 ? now - firstSentAt <= most : now - duration < provenAt;
    }

    private long connectTimeout() {
        return context.settings().limits().connectTimeoutNanos();
    }
}
