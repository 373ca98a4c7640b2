package slateseam.decision;

import java.util.Set;
import java.util.function.Consumer;
import slateseam.decision.Api.Action;
import slateseam.decision.Api.AttemptEnded;
import slateseam.decision.Api.CacheMode;
import slateseam.decision.Api.Cancel;
import slateseam.decision.Api.ClientGone;
import slateseam.decision.Api.Effect;
import slateseam.decision.Api.Event;
import slateseam.decision.Api.Fail;
import slateseam.decision.Api.Holding;
import slateseam.decision.Api.ListKind;
import slateseam.decision.Api.MembersChanged;
import slateseam.decision.Api.Outcome;
import slateseam.decision.Api.PeerMessage;
import slateseam.decision.Api.Refuse;
import slateseam.decision.Api.RequestArrived;
import slateseam.decision.Api.RequestClass;
import slateseam.decision.Api.Rests;
import slateseam.decision.Api.Retuned;
import slateseam.decision.Api.Send;
import slateseam.decision.Api.SetTimer;
import slateseam.decision.Api.Settings;
import slateseam.decision.Api.Started;
import slateseam.decision.Api.StreamEstablished;
import slateseam.decision.Api.TierSeen;
import slateseam.decision.Api.TimerFired;

/**
 * The entry point of the decision module: takes the events of one router and answers each with actions. The
 * types of settings, events and actions are declared in {@link Api}. The class is deterministic: the same
 * settings, seed and sequence of events give the same actions. It is not thread-safe.
 *
 * <p>This class implements the request path, from the arrival of a request to its single final answer: it
 * selects the server of each attempt, and decides whether a request is retried and whether it is refused. The
 * state on which these decisions depend is held by {@link Cluster}, {@link OutlierDetection},
 * {@link HotKeys}, {@link SharedBudgets}, {@link OriginRate}, {@link AdmissionControl} and
 * {@link RequestTable}.
 */
public final class Brain {
    /** The tag of the timer that starts each round of housekeeping. */
    private static final int HOUSEKEEPING_TIMER_TAG = 1;
    /** The fraction of a server's window that requests beyond their tenant's share may use. */
    private static final double OVER_SHARE_WINDOW_FRACTION = 0.5;
    /** The largest fraction of a request's remaining time that an attempt may take before it is retried. */
    private static final double MAX_ATTEMPT_TIME_FRACTION = 0.8;
    /** The time to reserve for one more attempt, as a multiple of the usual answer time. */
    private static final double RETRY_RESERVE_FACTOR = 1.2;
    /** An attempt is late after this multiple of the usual answer time; shorter time-outs are not set. */
    private static final double LATE_ANSWER_FACTOR = 2.5;
    /**
     * How many requests that wait for room at a cache server are routed again each time an attempt has ended
     * or housekeeping runs.
     */
    private static final int MAX_REROUTED_REQUESTS = 2;
    /** Outcomes of attempts of which no server received the complete request. */
    private static final Set<Outcome> NOT_SENT = Set.of(Outcome.CONNECT_FAILED, Outcome.UNSENT, Outcome.MOOT);

    private final DecisionContext context;
    private final TrafficStats traffic = new TrafficStats();
    private final Cluster cluster;
    private final HotKeys hotKeys;
    private final SharedBudgets budgets;
    private final OriginRate originRate;
    private final AdmissionControl admission;
    private final OutlierDetection outliers;
    private final DiscoverySubscription discovery;
    private final RequestTable requests = new RequestTable();

    /** Creates an instance that exchanges supply with its ring neighbours only. */
    public Brain(Settings settings, long seed) {
        this(settings, seed, SupplyLinks.OFF);
    }

    /**
     * Creates an instance that exchanges supply with its ring neighbours and over further links.
     *
     * @param seed the seed of all random choices of the instance
     * @param links the links to routers beyond the ring neighbours
     */
    public Brain(Settings settings, long seed, SupplyLinks links) {
        context = new DecisionContext(settings, seed);
        cluster = new Cluster(context, traffic);
        hotKeys = new HotKeys(context);
        budgets = new SharedBudgets(context, traffic, hotKeys.counts, links);
        originRate = budgets.originRate();
        admission = new AdmissionControl(context.random);
        outliers = new OutlierDetection(context, traffic, cluster, hotKeys, originRate, admission);
        discovery = new DiscoverySubscription(context);
    }

    /** Returns this router's part of the origin's budget. */
    public Holding holding() {
        return budgets.holding();
    }

    /**
     * Handles one event.
     *
     * @param clockNanos the time of the event on the module's clock
     * @param actions receives the resulting actions in the order in which they are to be carried out
     */
    public void handle(long clockNanos, Event event, Consumer<Action> actions) {
        context.beginEvent(clockNanos, actions);
        if (event instanceof RequestArrived e) {
            requestArrived(e);
        } else if (event instanceof AttemptEnded e) {
            attemptEnded(e);
        } else if (event instanceof TimerFired e) {
            timerFired(e.tag());
        } else if (event instanceof MembersChanged e) {
            membersChanged(e);
        } else if (event instanceof PeerMessage e) {
            budgets.received(e);
        } else if (event instanceof ClientGone e) {
            clientGone(e);
        } else if (event instanceof StreamEstablished e) {
            streamEstablished(e);
        } else if (event instanceof Started) {
            start();
        } else if (event instanceof Rests e) {
            budgets.rest(e.rests());
        } else if (event instanceof TierSeen e) {
            budgets.seen(e);
        } else if (event instanceof Retuned e) {
            context.applySettings(e.settings());
        }
    }

    /** Returns how many listed cache servers get no requests at present because they drain or are ejected. */
    public int avoided() {
        return cluster.avoided();
    }

    private void start() {
        budgets.start();
        setTickTimer();
        discovery.start();
    }

    private void setTickTimer() {
        context.emit(new SetTimer(HOUSEKEEPING_TIMER_TAG, context.housekeepingPeriod()));
    }

    private void timerFired(int tag) {
        if (tag == DiscoverySubscription.TIMER_TAG) {
            discovery.ask();
        }
        if (tag == HOUSEKEEPING_TIMER_TAG) {
            tick();
        }
    }

    /** Runs a round of housekeeping. */
    private void tick() {
        budgets.accrue();
        if (budgets.intervalIsOver()) {
            endInterval();
        }
        budgets.exchange();
        checkDueRequests();
        resumeDelayedRequests();
        releaseAwaitingSupply();
        requests.dropFinished();
        admitAwaitingRoom();
        setTickTimer();
    }

    private void endInterval() {
        budgets.endInterval();
        traffic.endInterval();
        admission.endInterval();
        hotKeys.endInterval();
    }

    private void membersChanged(MembersChanged event) {
        if (event.kind() == ListKind.FAILED) {
            discovery.failed();
            return;
        }
        if (event.kind() != ListKind.CACHED) {
            discovery.succeeded();
        }
        cluster.changed(event);
    }

    private void requestArrived(RequestArrived event) {
        traffic.arrivals.count();
        Settings settings = context.settings();
        boolean listed = settings.isListed(event.tenant());
        Job job = createPending(event, listed ? budgets.useShare(event.tenant()) : ShareUse.BEYOND);
        requests.add(job);
        boolean shed = admission.shouldShed(job.overShare);
        // Answered at once: with so little time left, the next housekeeping would come after the deadline.
        if (job.giveUpAt <= context.now()) {
            decline(job);
        } else if (shed) {
            overflow(job, false);
        } else {
            route(job, null);
        }
    }

    /**
     * Creates the state of a request, which is declined in time for two rounds of housekeeping before its
     * deadline, or earlier if an answer after the aim of its class is worth nothing.
     */
    private Job createPending(RequestArrived event, ShareUse share) {
        Settings settings = context.settings();
        RequestClass type = settings.classes().get(event.requestClass());
        long now = context.now();
        long margin = 2 * context.housekeepingPeriod();
        long last = event.ttlNanos() - margin;
        long useful = type.lateShare() > 0 ? last : Math.min(last, type.aimNanos());
        Job job = new Job(event, type, settings.limits().attempts(), now, now + useful, share);
        // A request that reached no server by half of its time is declined, so that its client still has time
        // to turn to another router.
        job.dueAt = Math.min(job.giveUpAt, now + event.ttlNanos() / 2 - margin);
        return job;
    }

    /**
     * Sends a request to the cache server of its key, or to the key's next cache server if the first has no
     * room and the request is within its tenant's share. Where routers fetch from the origin, writes, and
     * requests for which no cache server is usable, go there. All others are handled by {@link #overflow}.
     *
     * @param excluded a server that must not be chosen because an attempt there has just ended, or null
     */
    private void route(Job job, UpstreamServer excluded) {
        boolean hasOrigin = cluster.origin() != null;
        long key = placementKey(job);
        UpstreamServer home = job.asked.write() && hasOrigin ? null : cluster.home(key, excluded);
        boolean spill = home != null && !hasRoom(home, job) && excluded == null && !job.overShare;
        if (spill) {
            home = cluster.home(key, home);
        }
        if (home == null && hasOrigin) {
            fetch(job);
        } else if (home != null && hasRoom(home, job)) {
            send(job, home);
        } else {
            overflow(job, home != null && cluster.unsettled());
        }
    }

    /**
     * Returns the hash that selects the cache server of a request: its key, or one of the key's replicas if
     * the key is hot. A request without a key is placed by its number.
     */
    private long placementKey(Job job) {
        long key = job.asked.key();
        if (key == 0) {
            return JumpHash.mix(job.asked.request());
        }
        return hotKeys.replicaOf(key, cluster.readyCaches());
    }

    private boolean hasRoom(UpstreamServer server, Job job) {
        double fraction = job.overShare ? OVER_SHARE_WINDOW_FRACTION : 1;
        return server.hasRoom(fraction, traffic.answerTime(), context.now());
    }

    /**
     * Handles a request that was shed or that no cache server has room for. Within its tenant's share it is
     * fetched from the origin like a miss, as long as there is supply that no other request waits for.
     * Otherwise it waits for room at a cache server, or is declined.
     *
     * @param mayWait whether room is expected soon: after a start, or while most caches fail together, no
     *     cache server is full for good
     */
    private void overflow(Job job, boolean mayWait) {
        countOriginDemand(job);
        job.mayAwaitRoom |= mayWait && !job.overShare;
        boolean supplyUnclaimed = requests.firstAwaitingSupply() == null;
        if (cluster.origin() != null && !job.overShare && supplyUnclaimed && takeSupply(job)) {
            send(job, cluster.origin());
        } else if (job.mayAwaitRoom) {
            requests.awaitRoom(job);
        } else {
            decline(job);
        }
    }

    /** Counts a request once as demand for the origin, however often it misses or is routed again. */
    private void countOriginDemand(Job job) {
        if (!job.countedAsDemand) {
            budgets.countOriginDemand(job.demandWithinShare);
            job.countedAsDemand = true;
        }
    }

    /**
     * Takes the supply of one fetch, if there is some and the origin's window has room. The window keeps
     * bursts from opening more connections than the origin admits.
     */
    private boolean takeSupply(Job job) {
        boolean room = cluster.origin().hasRoom(1, traffic.answerTime(), context.now());
        return room && originRate.take(job.overShare);
    }

    /** Begins an attempt; declines the request if no time or attempt is left or it must not be repeated. */
    private void send(Job job, UpstreamServer to) {
        long now = context.now();
        boolean mustNotRepeat = job.mayHaveRun && !job.repeatable(now);
        if (mustNotRepeat || !job.hasAttemptsLeft(1) || job.giveUpAt <= now) {
            decline(job);
            return;
        }
        job.attempts++;
        job.attemptInProgress = true;
        to.sent(now);
        context.emit(new Send(job.asked.request(), to.id(), attemptTimeout(job, to), job.sendDeadline()));
    }

    /**
     * Returns the time-out of an attempt in nanoseconds, after which the request is retried elsewhere; 0 if
     * the attempt may last until the request's deadline. Only attempts of safe, non-streamed requests at
     * cache servers get a time-out, and only if it leaves time for another attempt.
     */
    private long attemptTimeout(Job job, UpstreamServer to) {
        boolean retriable = !to.isOrigin() && job.type.effect() == Effect.PURE && !job.type.stream();
        double answerTime = traffic.answerTime();
        long left = job.giveUpAt - context.now();
        // Bounded on both sides: an early time-out drops answers that are on their way, and after a late one
        // another attempt cannot be answered in time.
        double latest = left - RETRY_RESERVE_FACTOR * answerTime;
        return retriable && latest > LATE_ANSWER_FACTOR * answerTime
                ? (long) Math.min(latest, left * MAX_ATTEMPT_TIME_FRACTION)
                : 0;
    }

    /**
     * Handles a miss or a write, which needs the origin. A read joins the fetch of its key if one is in
     * progress; any other request is sent to the origin as soon as there is supply for it.
     */
    private void fetch(Job job) {
        countOriginDemand(job);
        long key = job.asked.key();
        if (!job.asked.write() && key != 0) {
            hotKeys.counts.missed(key);
            Job leader = requests.joinFetch(job);
            if (leader != job && job.hasAttemptsLeft(2)) {
                leader.followers.add(job);
                if (leader.overShare && !job.overShare) {
                    requests.promoteToWithinShare(leader);
                    releaseAwaitingSupply();
                }
                return;
            }
        }
        awaitSupply(job);
    }

    private void awaitSupply(Job job) {
        // A request without an attempt left must not wait for supply and use it up.
        if (job.hasAttemptsLeft(1)) {
            requests.awaitSupply(job);
        } else {
            decline(job);
        }
        releaseAwaitingSupply();
    }

    /**
     * Sends requests that wait for supply to the origin, until the supply is used up. Declines requests that
     * have less time left than a fetch takes at present.
     */
    private void releaseAwaitingSupply() {
        for (Job job; (job = requests.firstAwaitingSupply()) != null; ) {
            long left = job.giveUpAt - context.now();
            boolean tooLate = left < originRate.fetchTimes.recent() || cluster.origin() == null;
            if (!job.done && !tooLate && !takeSupply(job)) {
                return;
            }
            requests.removeFirstAwaitingSupply();
            if (!job.done && tooLate) {
                decline(job);
            } else if (!job.done) {
                send(job, cluster.origin());
            }
        }
    }

    private void attemptEnded(AttemptEnded event) {
        UpstreamServer server = cluster.servers.get(event.member());
        Job job = requests.get(event.request());
        boolean staleOrDuplicate = job != null && !event.concluded() && !job.awaitsAttempt(event.attempt());
        if (staleOrDuplicate) {
            return;
        }
        if (server != null) {
            outliers.attemptEnded(server, event, job);
        }
        if (job != null) {
            handleOutcome(job, event, server);
        }
        admitAwaitingRoom();
    }

    /** Routes the first requests that wait for room at a cache server again; an ended attempt frees room. */
    private void admitAwaitingRoom() {
        for (int i = 0; i < MAX_REROUTED_REQUESTS; i++) {
            Job job = requests.pollAwaitingRoom();
            if (job != null && !job.done) {
                route(job, null);
            }
        }
    }

    /** Finishes, declines or retries a request according to the outcome of its attempt. */
    private void handleOutcome(Job job, AttemptEnded event, UpstreamServer server) {
        Outcome outcome = event.outcome();
        boolean aside = context.settings().mode() == CacheMode.ASIDE;
        job.attemptInProgress = false;
        job.mayHaveRun |= !outcome.neverRan();
        job.reachedServer |= !NOT_SENT.contains(outcome);
        if (event.concluded()) {
            finish(job);
        } else if (job.mayHaveRun && !job.repeatable(context.now())) {
            decline(job);
        } else if (server != null && server.isOrigin()) {
            awaitSupply(job);
        } else if (outcome != Outcome.MISS && aside && !job.hasAttemptsLeft(2)) {
            // The last attempt is for the origin: another cache server would miss and leave no attempt.
            fetch(job);
        } else if (outcome.isMishap()) {
            // Any server may garble an answer or lose a connection; the key is still stored there.
            route(job, null);
        } else if (outcome != Outcome.MISS || !aside) {
            route(job, server);
        } else if (event.fetching() && job.hasAttemptsLeft(2)) {
            requests.delay(job, context.now() + (long) originRate.fetchTimes.recent());
        } else {
            fetch(job);
        }
    }

    /**
     * Gives a request that cannot be served its final answer: a refusal if repeating the request is harmless,
     * else a failure.
     */
    private void decline(Job job) {
        var limits = context.settings().limits();
        long retryAfter = limits.retryAfter() ? limits.maxRetryAfterNanos() : 0;
        boolean refusable = !(job.mayHaveRun || job.attemptInProgress) || job.repeatsAreHarmless();
        cancel(job);
        long request = job.asked.request();
        context.emit(refusable ? new Refuse(request, retryAfter) : new Fail(request));
        finish(job);
    }

    /** Cancels the attempt in progress, if there is one and the site permits it. */
    private void cancel(Job job) {
        // A fetch that fills a cache is completed while many fetches are given up: otherwise the caches run
        // empty as long as the origin takes longer than the requests have time.
        boolean mustFillCache = job.followers != null && originRate.isFutile();
        if (job.attemptInProgress
                && !mustFillCache
                && context.settings().limits().cancel()) {
            context.emit(new Cancel(job.asked.request(), job.attempts - 1));
        }
    }

    private void clientGone(ClientGone event) {
        Job job = requests.get(event.request());
        if (job != null) {
            cancel(job);
            finish(job);
        }
    }

    /** Finishes a streamed request: its answer has begun, and it needs no further decision. */
    private void streamEstablished(StreamEstablished event) {
        Job job = requests.get(event.request());
        if (job != null) {
            finish(job);
        }
    }

    private void finish(Job job) {
        requests.finish(job, context.now());
    }

    /**
     * Declines due requests whose time is over, and those that have reached no server by half of their time.
     */
    private void checkDueRequests() {
        long now = context.now();
        for (Job job; (job = requests.pollDue(now)) != null; ) {
            if (job.giveUpAt <= now || !job.attemptInProgress && !job.reachedServer) {
                decline(job);
            } else {
                requests.recheckAtGiveUp(job);
            }
        }
    }

    private void resumeDelayedRequests() {
        for (Job job; (job = requests.pollDelayed(context.now())) != null; ) {
            if (!job.done) {
                route(job, null);
            }
        }
    }
}
