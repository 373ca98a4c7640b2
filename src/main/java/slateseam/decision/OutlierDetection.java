package slateseam.decision;

import java.util.EnumSet;
import java.util.Set;
import slateseam.decision.Api.AttemptEnded;
import slateseam.decision.Api.CloseIdle;
import slateseam.decision.Api.Outcome;

/**
 * What the outcome of an attempt tells of its server: narrows the window of one that is slow and ejects one that
 * loses work. Ejection is relative to the cluster, so that none is blamed for what befalls most.
 */
final class OutlierDetection {
    /** What lost work weighs in a row of failures. */
    private static final int LOST_WORK = 2;
    /** Of the aim; what takes longer narrows the window. */
    private static final double SLOW_ANSWER = 0.6;

    private static final double WINDOW_CUT = 0.75;
    private static final double LEAST_WINDOW = 0.1;
    /** By the first ejection; it doubles three times. */
    private static final int MOST_EJECTION = 8;
    /** For which idle connections are closed, after a refusal. */
    private static final long CROWDED = 20 * Timing.SECOND;
    /** No sign of life; we end these ourselves. */
    private static final Set<Outcome> NOTHING_BACK =
            EnumSet.of(Outcome.CONNECT_FAILED, Outcome.UNSENT, Outcome.MOOT, Outcome.TIMEOUT, Outcome.CANCELLED);

    private final DecisionContext context;
    private final TrafficStats traffic;
    private final Cluster cluster;
    private final HotKeys hotKeys;
    private final OriginRate originRate;
    private final AdmissionControl admission;

    OutlierDetection(
            DecisionContext context,
            TrafficStats traffic,
            Cluster cluster,
            HotKeys hotKeys,
            OriginRate originRate,
            AdmissionControl admission) {
        this.context = context;
        this.traffic = traffic;
        this.cluster = cluster;
        this.hotKeys = hotKeys;
        this.originRate = originRate;
        this.admission = admission;
    }

    /** Takes the outcome of an attempt; {@code job} is null if the request has its answer. */
    void attemptEnded(UpstreamServer server, AttemptEnded event, Job job) {
        server.ended();
        Outcome outcome = event.outcome();
        long aim = (job != null ? job.type : context.settings().classes().get(0)).aimNanos();
        boolean slow = event.durationNanos() > SLOW_ANSWER * aim;
        // Nothing was sent: that tells of this router alone, or of a handshake that needs its time.
        if (outcome == Outcome.MOOT || outcome == Outcome.UNSENT && !server.silent()) {
            return;
        }
        // What had little time from the start tells of the request and not of the server.
        if (outcome == Outcome.TIMEOUT && !slow && !server.isOrigin()) {
            return;
        }
        if (!NOTHING_BACK.contains(outcome)) {
            server.cameBack();
        }
        if (outcome.isMishap()) {
            // Guards against sparing servers for what happens to all answers alike and tells nothing of
            // their load. Only one that answers nothing else for a while is ejected.
            if (!server.isOrigin()) {
                fail(server, 1);
            }
            return;
        }
        closeIdleOfCrowded(server, outcome);
        if (server.isOrigin()) {
            originAttemptEnded(server, event, aim, job == null);
        } else {
            cacheAttemptEnded(server, event, slow, job);
        }
    }

    /**
     * Guards against a server's connections being used up by idle ones of many routers. Not every server's: a process
     * that died refuses too, and each request would cost a handshake.
     */
    private void closeIdleOfCrowded(UpstreamServer server, Outcome outcome) {
        if (outcome == Outcome.CONNECT_FAILED) {
            server.crowdedUntil = context.now() + CROWDED;
        }
        if (context.now() < server.crowdedUntil && server.outstanding == 0) {
            context.emit(new CloseIdle(server.id()));
        }
    }

    private void originAttemptEnded(UpstreamServer server, AttemptEnded event, long aim, boolean givenUp) {
        long duration = event.durationNanos();
        originRate.fetchEnded(event.outcome(), duration, aim, givenUp);
        if (isNotUp(event.outcome())) {
            shrink(server, duration);
        } else if (event.outcome() == Outcome.OK) {
            answered(server, false, duration);
        }
    }

    private void cacheAttemptEnded(UpstreamServer server, AttemptEnded event, boolean slow, Job job) {
        Outcome outcome = event.outcome();
        long duration = event.durationNanos();
        boolean served = outcome == Outcome.OK || outcome == Outcome.MISS;
        // Guards against a few sick caches closing the door: a trial tells of the cache, not of the load,
        // and a first attempt of its connection.
        if (server.failures < UpstreamServer.FAILURES && !server.early(duration)) {
            admission.attempted(slow || !served);
        }
        // A miss is answered beside the queue and tells nothing of a cache that is overrun.
        if (outcome == Outcome.OK) {
            answered(server, slow, duration);
            traffic.answered(duration);
        } else if (served) {
            missed(server);
        } else if (outcome != Outcome.CANCELLED || slow) {
            failed(server, duration, weight(outcome, job), outcome == Outcome.CONNECT_FAILED);
        }
    }

    /** What a failure weighs in a row of them. */
    private int weight(Outcome outcome, Job job) {
        boolean notUp = isNotUp(outcome);
        // Of a large fleet's cache one failure is all the warning before the next request; but a
        // popular key that is slow to serve must not drive its load from cache to cache.
        boolean popular = job != null && hotKeys.isPopular(job.asked.key());
        boolean seldom = cluster.readyCaches() > traffic.arrivals.perSecond() && (notUp || !popular);
        // A full answer ejects: many routers' next requests would keep a full cache from the rest it needs.
        if (outcome == Outcome.FULL || seldom) {
            return UpstreamServer.FAILURES;
        }
        return notUp ? 1 : LOST_WORK;
    }

    private static boolean isNotUp(Outcome outcome) {
        return outcome == Outcome.CONNECT_FAILED || outcome == Outcome.UNSENT;
    }

    private void answered(UpstreamServer server, boolean slow, long duration) {
        server.failures = 0;
        server.ejection = UpstreamServer.firstEjection(context);
        server.prove(context.now());
        // Guards against narrowing a first window for what its connection took to come up.
        if (slow && !server.early(duration)) {
            shrink(server, duration);
        } else {
            server.grow();
        }
    }

    /** Misses alone bring one back that was ejected, but slowly: each answered trial counts one. */
    private void missed(UpstreamServer server) {
        server.prove(context.now());
        if (server.failures >= UpstreamServer.FAILURES && context.now() >= server.ejectedUntil) {
            server.failures = Math.min(server.failures - 1, 2 * UpstreamServer.FAILURES);
        }
    }

    private void failed(UpstreamServer server, long duration, int weight, boolean refused) {
        // Guards against ejecting for what handshakes do to it; one that is down refuses connections.
        boolean spared = server.early(duration) && !refused;
        // Only here: mishaps befall all answers alike, and would hide one that is sick.
        server.failedAt = context.now();
        if (!spared) {
            shrink(server, duration);
        }
        fail(server, spared ? 0 : weight);
    }

    /** Ejection is relative to the cluster: what befalls most caches at once tells nothing of this one. */
    private void fail(UpstreamServer server, int weight) {
        long now = context.now();
        long firstEjection = UpstreamServer.firstEjection(context);
        boolean common = cluster.strained();
        if (common) {
            cluster.health.forgive(
                    now - firstEjection, UpstreamServer.HICCUP, UpstreamServer.FAILURES, cluster.fairWindow(), now);
        }
        server.failures += weight;
        // Guards against counting one mishap many times: nothing is sent while it is ejected.
        if (server.failures < UpstreamServer.FAILURES || now < server.ejectedUntil) {
            return;
        }
        boolean tooMany = cluster.health.ejectedPart(UpstreamServer.FAILURES) > Cluster.MOST_EJECTED;
        if ((common || tooMany) && !server.dead()) {
            server.failures = UpstreamServer.FAILURES - 1;
            return;
        }
        long longest = MOST_EJECTION * firstEjection;
        server.eject((long) Math.max(server.ejection, Math.min(twoRequests(), longest)), now);
        if (!common) {
            server.ejection = Math.min(2 * server.ejection, longest);
        }
    }

    /** The time in which two requests for one cache come; just after a start nobody knows how many come. */
    private double twoRequests() {
        Tally arrivals = traffic.arrivals;
        return arrivals.isSettled() ? 2 * Timing.SECOND * cluster.readyCaches() / arrivals.perSecond() : 0;
    }

    private void shrink(UpstreamServer server, long duration) {
        boolean common = !server.isOrigin() && cluster.strained();
        server.shrink(duration, WINDOW_CUT, common ? cluster.fairWindow() : LEAST_WINDOW, context.now());
    }
}
