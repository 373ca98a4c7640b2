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
 * Every decision of one router; its interface (settings, events, actions) is {@link Api}. Not thread-safe.
 * The same settings, seed and events give the same actions.
 *
 * <p>Here is the path of each request, from its arrival to its one final answer: which server it is sent to,
 * whether it is tried again, whether it is refused. What that rests on is kept by {@link Cluster},
 * {@link OutlierDetection}, {@link HotKeys}, {@link SharedBudgets}, {@link OriginRate},
 * {@link AdmissionControl} and {@link RequestTable}.
 */
public final class Brain {
    private static final int TICK_TAG = 1;
    /** Of a server's window: what work beyond tenants' shares may use. */
    private static final double OVER_SHARE_WINDOW = 0.5;
    /** Part of its time after which a safe request moves on. */
    private static final double PATIENCE = 0.8;
    /** Of the usual answer time: what another attempt needs. */
    private static final double ANOTHER = 1.2;
    /** Of the usual answer time: from there on an answer is late. */
    private static final double LATE = 2.5;
    /** Requests that look for room again when an attempt has ended. */
    private static final int RETRIES_FOR_ROOM = 2;
    /** Of an attempt that came whole to no server. */
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

    /** Creates the router's instance, which exchanges supply with its ring neighbours alone. */
    public Brain(Settings settings, long seed) {
        this(settings, seed, SupplyLinks.OFF);
    }

    /** Creates the router's instance. */
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

    /** What this router holds of the origin's budget. */
    public Holding holding() {
        return budgets.holding();
    }

    /** Takes an event and hands the actions that answer it to {@code actions}, in their order. */
    public void handle(long clockNanos, Event event, Consumer<Action> actions) {
        context.begin(clockNanos, actions);
        if (event instanceof RequestArrived e) {
            arrived(e);
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
            context.retune(e.settings());
        }
    }

    /** How many listed cache servers get nothing now: they drain, or are ejected. */
    public int avoided() {
        return cluster.avoided();
    }

    private void start() {
        budgets.start();
        setTickTimer();
        discovery.start();
    }

    private void setTickTimer() {
        context.emit(new SetTimer(TICK_TAG, context.housekeepingPeriod()));
    }

    private void timerFired(int tag) {
        if (tag == DiscoverySubscription.TIMER_TAG) {
            discovery.ask();
        }
        if (tag == TICK_TAG) {
            tick();
        }
    }

    private void tick() {
        budgets.accrue();
        if (budgets.intervalIsOver()) {
            endInterval();
        }
        budgets.exchange();
        lookAtDueRequests();
        resumeDelayedRequests();
        release();
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

    private void arrived(RequestArrived event) {
        traffic.arrivals.count();
        Settings settings = context.settings();
        boolean listed = settings.lists(event.tenant());
        Job job = jobOf(event, listed ? budgets.useShare(event.tenant()) : ShareUse.BEYOND);
        requests.add(job);
        boolean shed = admission.sheds(job.overShare);
        // Guards against a try with so little time left that the next housekeeping comes too late.
        if (job.giveUpAt <= context.now()) {
            decline(job);
        } else if (shed) {
            overflow(job, false);
        } else {
            route(job, null);
        }
    }

    private Job jobOf(RequestArrived event, ShareUse share) {
        Settings settings = context.settings();
        RequestClass type = settings.classes().get(event.requestClass());
        long now = context.now();
        long margin = 2 * context.housekeepingPeriod();
        long last = event.ttlNanos() - margin;
        long useful = type.lateShare() > 0 ? last : Math.min(last, type.aimNanos());
        Job job = new Job(event, type, settings.limits().attempts(), now, now + useful, share);
        // Guards against holding work for which nothing was done until its client could go nowhere else.
        job.dueAt = Math.min(job.giveUpAt, now + event.ttlNanos() / 2 - margin);
        return job;
    }

    /** Sends a request to its key's cache server, other than {@code not}, or where else it may go. */
    private void route(Job job, UpstreamServer not) {
        boolean aside = cluster.origin() != null;
        long key = placementKey(job);
        UpstreamServer home = job.asked.write() && aside ? null : cluster.home(key, not);
        boolean spill = home != null && !hasRoom(home, job) && not == null && !job.overShare;
        if (spill) {
            home = cluster.home(key, home);
        }
        if (home == null && aside) {
            fetch(job);
        } else if (home != null && hasRoom(home, job)) {
            send(job, home);
        } else {
            overflow(job, home != null && cluster.unsettled());
        }
    }

    /** By which a request finds its cache server: its key or a copy of it; without one, its number. */
    private long placementKey(Job job) {
        long key = job.asked.key();
        if (key == 0) {
            return JumpHash.mix(job.asked.request());
        }
        return hotKeys.replicaOf(key, cluster.readyCaches());
    }

    private boolean hasRoom(UpstreamServer server, Job job) {
        double part = job.overShare ? OVER_SHARE_WINDOW : 1;
        return server.hasRoom(part, traffic.answerTime(), context.now());
    }

    /**
     * Work within its share that the caches cannot take counts as a miss while supply is left over. At a
     * start, or where most caches fail together, the rest waits for room.
     */
    private void overflow(Job job, boolean patient) {
        countOriginDemand(job);
        job.waited |= patient && !job.overShare;
        boolean unused = requests.firstAwaitingSupply() == null;
        if (cluster.origin() != null && !job.overShare && unused && takeSupply(job)) {
            send(job, cluster.origin());
        } else if (job.waited) {
            requests.awaitRoom(job);
        } else {
            decline(job);
        }
    }

    /** Guards against a request that counts as several, each time it misses or looks for room again. */
    private void countOriginDemand(Job job) {
        if (!job.countedAsDemand) {
            budgets.countOriginDemand(job.demandWithinShare);
            job.countedAsDemand = true;
        }
    }

    /** Guards against bursts of more connections than the origin admits: it has a window too. */
    private boolean takeSupply(Job job) {
        boolean room = cluster.origin().hasRoom(1, traffic.answerTime(), context.now());
        return room && originRate.take(job.overShare);
    }

    private void send(Job job, UpstreamServer to) {
        long now = context.now();
        boolean spent = job.mayHaveRun && !job.repeatable(now);
        if (spent || !job.mayTry(1) || job.giveUpAt <= now) {
            decline(job);
            return;
        }
        job.attempts++;
        job.open = true;
        to.sent(now);
        context.emit(new Send(job.asked.request(), to.id(), attemptTimeout(job, to), job.sentBy()));
    }

    /** After how long a request moves on; 0 if it does not. */
    private long attemptTimeout(Job job, UpstreamServer to) {
        boolean movable = !to.isOrigin() && job.type.effect() == Effect.PURE && !job.type.stream();
        double answerTime = traffic.answerTime();
        long left = job.giveUpAt - context.now();
        // Guards against moving on too early, or too late for another answer.
        double most = left - ANOTHER * answerTime;
        return movable && most > LATE * answerTime ? (long) Math.min(most, left * PATIENCE) : 0;
    }

    /** A miss or a write: joins a fetch of its key that is out, else pays from supply, else waits for it. */
    private void fetch(Job job) {
        countOriginDemand(job);
        long key = job.asked.key();
        if (!job.asked.write() && key != 0) {
            hotKeys.counts.missed(key);
            Job leader = requests.joinFetch(job);
            if (leader != job && job.mayTry(2)) {
                leader.followers.add(job);
                if (leader.overShare && !job.overShare) {
                    requests.putAhead(leader);
                    release();
                }
                return;
            }
        }
        awaitSupply(job);
    }

    private void awaitSupply(Job job) {
        // Guards against one that waits for supply, and takes some, though it has no attempt left.
        if (job.mayTry(1)) {
            requests.awaitSupply(job);
        } else {
            decline(job);
        }
        release();
    }

    /** Sends to the origin what waits for supply, as far as there is some. */
    private void release() {
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
        boolean lateOrToldTwice = job != null && !event.concluded() && !job.awaits(event.attempt());
        if (lateOrToldTwice) {
            return;
        }
        if (server != null) {
            outliers.attemptEnded(server, event, job);
        }
        if (job != null) {
            next(job, event, server);
        }
        admitAwaitingRoom();
    }

    /** Two at most, as one attempt has ended: each looks for room again. */
    private void admitAwaitingRoom() {
        for (int i = 0; i < RETRIES_FOR_ROOM; i++) {
            Job job = requests.pollAwaitingRoom();
            if (job != null && !job.done) {
                route(job, null);
            }
        }
    }

    /** What follows for a request from how its attempt ended. */
    private void next(Job job, AttemptEnded event, UpstreamServer server) {
        Outcome outcome = event.outcome();
        boolean aside = context.settings().mode() == CacheMode.ASIDE;
        job.open = false;
        job.mayHaveRun |= !outcome.neverRan();
        job.reached |= !NOT_SENT.contains(outcome);
        if (event.concluded()) {
            finish(job);
        } else if (job.mayHaveRun && !job.repeatable(context.now())) {
            decline(job);
        } else if (server != null && server.isOrigin()) {
            awaitSupply(job);
        } else if (outcome != Outcome.MISS && aside && !job.mayTry(2)) {
            // Another cache would miss, and then there is no attempt left for the origin.
            fetch(job);
        } else if (outcome.isMishap()) {
            // Any member may spoil an answer or lose a connection: the key is still where it was.
            route(job, null);
        } else if (outcome != Outcome.MISS || !aside) {
            route(job, server);
        } else if (event.fetching() && job.mayTry(2)) {
            requests.delay(job, context.now() + (long) originRate.fetchTimes.recent());
        } else {
            fetch(job);
        }
    }

    /** The final answer of a request that is not served: refused where the rules allow, else failed. */
    private void decline(Job job) {
        var limits = context.settings().limits();
        long retryAfter = limits.retryAfter() ? limits.maxRetryAfterNanos() : 0;
        boolean refusable = !(job.mayHaveRun || job.open) || job.repeatsAreHarmless();
        cancel(job);
        long request = job.asked.request();
        context.emit(refusable ? new Refuse(request, retryAfter) : new Fail(request));
        finish(job);
    }

    private void cancel(Job job) {
        // Guards against caches that run empty while the origin takes longer than requests have time.
        boolean fills = job.followers != null && originRate.isFutile();
        if (job.open && !fills && context.settings().limits().cancel()) {
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

    /** Nothing more is owed: the answer has begun. */
    private void streamEstablished(StreamEstablished event) {
        Job job = requests.get(event.request());
        if (job != null) {
            finish(job);
        }
    }

    private void finish(Job job) {
        requests.finish(job, context.now());
    }

    /** Declines what is to be given up, or has come to no server until now. */
    private void lookAtDueRequests() {
        long now = context.now();
        for (Job job; (job = requests.pollDue(now)) != null; ) {
            if (job.giveUpAt <= now || !job.open && !job.reached) {
                decline(job);
            } else {
                requests.lookAgainAtGiveUp(job);
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
