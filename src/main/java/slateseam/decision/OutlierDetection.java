package slateseam.decision;

import java.util.EnumSet;
import java.util.Set;
import slateseam.decision.Api.AttemptEnded;
import slateseam.decision.Api.CloseIdle;
import slateseam.decision.Api.Outcome;

/**
 * Passive outlier detection: infers the health of a server from the outcomes of the attempts sent to it. Narrows the
 * concurrency window of a server that is slow and ejects a cache server that loses requests. Ejection is relative to
 * the cluster: while most cache servers fail together, the cause is shared and no single server is ejected for it.
 */
final class OutlierDetection {
    /**
     * The weight of a time-out, an error or a slow attempt that was cancelled in a server's failure score. A
     * connection that cannot be set up weighs 1.
     */
    private static final int LOST_REQUEST_WEIGHT = 2;
    /** The duration, as a fraction of the request class's aim, above which an answer is slow and narrows the window. */
    private static final double SLOW_AIM_FRACTION = 0.6;

    /** The factor by which a slow answer or a failure narrows a window. */
    private static final double WINDOW_CUT_FACTOR = 0.75;
    /** The floor of a window; a window below 1 spaces single attempts out in time. */
    private static final double MIN_WINDOW = 0.1;
    /** The longest ejection as a multiple of the first; ejections double in length three times. */
    private static final int MAX_EJECTION_FACTOR = 8;
    /** How long idle connections to a server are closed after it refused a connection, in nanoseconds. */
    private static final long CLOSE_IDLE_NANOS = 20 * Timing.SECOND;
    /** The outcomes that the router sets itself, without having received anything from the server. */
    private static final Set<Outcome> WITHOUT_RESPONSE =
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

    /**
     * Updates the health of a server from the outcome of an attempt.
     *
     * @param server the server that the attempt was sent to
     * @param job the request of the attempt; null if the request already has its final answer
     */
    void attemptEnded(UpstreamServer server, AttemptEnded event, Job job) {
        server.attemptEnded();
        Outcome outcome = event.outcome();
        long aim = (job != null ? job.type : context.settings().classes().get(0)).aimNanos();
        boolean slow = event.durationNanos() > SLOW_AIM_FRACTION * aim;
        // Nothing was sent, which says something about this router alone, or about a handshake that is still within
        // the connection time-out.
        if (outcome == Outcome.MOOT || outcome == Outcome.UNSENT && !server.isSilent()) {
            return;
        }
        // An attempt with little time left from its start says something about the request, not about the server.
        if (outcome == Outcome.TIMEOUT && !slow && !server.isOrigin()) {
            return;
        }
        if (!WITHOUT_RESPONSE.contains(outcome)) {
            server.recordResponse();
        }
        if (outcome.isMishap()) {
            // Lost connections and unreadable answers hit all servers alike and say nothing about their load. They
            // leave the window alone and do not count towards the cluster's common failures, which would suspend
            // ejection. A cache server is ejected only after a run of them without an answer in between.
            if (!server.isOrigin()) {
                addFailure(server, 1);
            }
            return;
        }
        closeIdleConnections(server, outcome);
        if (server.isOrigin()) {
            originAttemptEnded(server, event, aim, job == null);
        } else {
            cacheAttemptEnded(server, event, slow, job);
        }
    }

    /**
     * Closes idle connections to a server that recently refused a connection, so that the idle connections of many
     * routers do not use up its connection limit. Idle connections to other servers stay open: a process that crashed
     * refuses connections too, and closing them everywhere would cost each request a handshake.
     */
    private void closeIdleConnections(UpstreamServer server, Outcome outcome) {
        if (outcome == Outcome.CONNECT_FAILED) {
            server.closeIdleUntil = context.now() + CLOSE_IDLE_NANOS;
        }
        if (context.now() < server.closeIdleUntil && server.outstanding == 0) {
            context.emit(new CloseIdle(server.id()));
        }
    }

    private void originAttemptEnded(UpstreamServer server, AttemptEnded event, long aim, boolean abandoned) {
        long duration = event.durationNanos();
        originRate.fetchEnded(event.outcome(), duration, aim, abandoned);
        if (isUnreachable(event.outcome())) {
            narrowWindow(server, duration);
        } else if (event.outcome() == Outcome.OK) {
            recordAnswer(server, false, duration);
        }
    }

    private void cacheAttemptEnded(UpstreamServer server, AttemptEnded event, boolean slow, Job job) {
        Outcome outcome = event.outcome();
        long duration = event.durationNanos();
        boolean served = outcome == Outcome.OK || outcome == Outcome.MISS;
        // Trial requests to an ejected cache say something about that cache, and first attempts about their
        // connection, but not about the load. Counting them would make admission control shed load because of a few
        // bad caches.
        if (server.failureScore < UpstreamServer.EJECTION_THRESHOLD && !server.sentDuringConnect(duration)) {
            admission.attempted(slow || !served);
        }
        // A cache answers a miss without queueing it, so a miss does not show whether the cache is overloaded.
        if (outcome == Outcome.OK) {
            recordAnswer(server, slow, duration);
            traffic.answered(duration);
        } else if (served) {
            recordMiss(server);
        } else if (outcome != Outcome.CANCELLED || slow) {
            recordFailure(server, duration, failureWeight(outcome, job), outcome == Outcome.CONNECT_FAILED);
        }
    }

    /** Returns by how much a failure raises a server's failure score. */
    private int failureWeight(Outcome outcome, Job job) {
        boolean unreachable = isUnreachable(outcome);
        // Where a cache gets less than one request a second from this router, as in a large fleet, a single failure
        // has to suffice for an ejection. Failures on popular keys are exempt unless the cache cannot be reached: a
        // popular key that is slow to serve would otherwise have one cache after another ejected as its load moves
        // on.
        boolean popular = job != null && hotKeys.isPopular(job.asked.key());
        boolean rarelyUsed = cluster.readyCaches() > traffic.arrivals.perSecond() && (unreachable || !popular);
        // A cache that reports itself full is ejected at once: further requests of many routers would not let it
        // recover.
        if (outcome == Outcome.FULL || rarelyUsed) {
            return UpstreamServer.EJECTION_THRESHOLD;
        }
        return unreachable ? 1 : LOST_REQUEST_WEIGHT;
    }

    /** Whether an outcome means that no connection could be set up in time. */
    private static boolean isUnreachable(Outcome outcome) {
        return outcome == Outcome.CONNECT_FAILED || outcome == Outcome.UNSENT;
    }

    /** Records a hit of a cache server or an answer of the origin. */
    private void recordAnswer(UpstreamServer server, boolean slow, long duration) {
        server.failureScore = 0;
        server.nextEjectionNanos = UpstreamServer.firstEjectionNanos(context);
        server.recordAnswer(context.now());
        // The first answers include the time for connection setup, which must not narrow the initial window.
        if (slow && !server.sentDuringConnect(duration)) {
            narrowWindow(server, duration);
        } else {
            server.widenWindow();
        }
    }

    /**
     * Records a miss. Misses alone readmit an ejected cache, but slowly: each trial request answered with a miss
     * lowers the failure score by one.
     */
    private void recordMiss(UpstreamServer server) {
        server.recordAnswer(context.now());
        if (server.failureScore >= UpstreamServer.EJECTION_THRESHOLD && context.now() >= server.ejectedUntil) {
            server.failureScore = Math.min(server.failureScore - 1, 2 * UpstreamServer.EJECTION_THRESHOLD);
        }
    }

    /** Records an attempt at a cache server that failed, or that was cancelled because it was slow. */
    private void recordFailure(UpstreamServer server, long duration, int weight, boolean connectFailed) {
        // Slow handshakes make the first attempts fail and must not lead to an ejection. A refused connection counts
        // all the same, as a server that is down refuses connections.
        boolean duringConnect = server.sentDuringConnect(duration) && !connectFailed;
        // Set for these failures only: lost connections and unreadable answers hit all servers alike, and would hide
        // a failing server by making the failure look common to the cluster.
        server.lastFailureAt = context.now();
        if (!duringConnect) {
            narrowWindow(server, duration);
        }
        addFailure(server, duringConnect ? 0 : weight);
    }

    /**
     * Raises a server's failure score and ejects the server once the score has reached the threshold. While most
     * caches fail at once, or too many are ejected already, only a server that has been silent for too long is
     * ejected.
     */
    private void addFailure(UpstreamServer server, int weight) {
        long now = context.now();
        long firstEjectionNanos = UpstreamServer.firstEjectionNanos(context);
        boolean widespread = cluster.mostCachesFail();
        if (widespread) {
            cluster.health.revokeEjections(
                    now - firstEjectionNanos,
                    UpstreamServer.MAX_PAUSE_NANOS,
                    UpstreamServer.EJECTION_THRESHOLD,
                    cluster.fairWindow(),
                    now);
        }
        server.failureScore += weight;
        // No attempts are sent during an ejection, so failures that arrive now belong to attempts from before it and
        // must not extend it.
        if (server.failureScore < UpstreamServer.EJECTION_THRESHOLD || now < server.ejectedUntil) {
            return;
        }
        boolean tooManyEjected =
                cluster.health.ejectedFraction(UpstreamServer.EJECTION_THRESHOLD) > Cluster.MAX_EJECTED_FRACTION;
        if ((widespread || tooManyEjected) && !server.isDead()) {
            server.failureScore = UpstreamServer.EJECTION_THRESHOLD - 1;
            return;
        }
        long maxEjectionNanos = MAX_EJECTION_FACTOR * firstEjectionNanos;
        server.eject((long) Math.max(server.nextEjectionNanos, Math.min(twoRequestsNanos(), maxEjectionNanos)), now);
        if (!widespread) {
            server.nextEjectionNanos = Math.min(2 * server.nextEjectionNanos, maxEjectionNanos);
        }
    }

    /**
     * Returns the time in nanoseconds in which this router sends two requests to one cache on average; 0 just after a
     * start, while the arrival rate is not known.
     */
    private double twoRequestsNanos() {
        Tally arrivals = traffic.arrivals;
        return arrivals.isSettled() ? 2 * Timing.SECOND * cluster.readyCaches() / arrivals.perSecond() : 0;
    }

    /** Narrows a server's window; while most caches fail together, not below what an even share of the load needs. */
    private void narrowWindow(UpstreamServer server, long duration) {
        boolean widespread = !server.isOrigin() && cluster.mostCachesFail();
        server.narrowWindow(duration, WINDOW_CUT_FACTOR, widespread ? cluster.fairWindow() : MIN_WINDOW, context.now());
    }
}
