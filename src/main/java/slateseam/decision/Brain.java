package slateseam.decision;

import java.util.*;
import java.util.function.*;
import slateseam.decision.Api.*;

/**
 * Every decision of one router; its interface (settings, events, actions) is {@link Api}. Not thread-safe.
 * The same settings, seed and events give the same actions.
 */
public final class Brain {
    private static final long SECOND = 1_000_000_000L; // all times are in nanoseconds
    private static final long TICK = SECOND / 100; // housekeeping: short against an aim, long against a batch
    private static final long INTERVAL = SECOND / 4; // of demand and learning, wait for peers: round trips
    private static final int SILENCE = 4; // usual pauses of a dead neighbour, more than chance loses
    private static final double INTERVAL_SECONDS = (double) INTERVAL / SECOND;
    private static final double ETA = 0.25; // the paper's 1/(2d) with d = 2; here scaled by demand
    private static final double DEMAND_WEIGHT = 0.25; // of the last interval: small miss counts are noisy
    private static final double DELIVERED_WEIGHT = 0.4; // likewise, of what the origin delivered
    private static final double START_RATE = 40; // first R, fetches a second for each router; then learned
    private static final double MOST_GROWTH = 1.5, GROWTH = 0.016; // of R an interval; a second after a cut
    private static final double CUT = 0.85; // R after overload, on what the origin was just seen to deliver
    private static final double FUTILE = 0.25; // of the fetches: given up
    private static final double BURST_SECONDS = 0.25, TENANT_BURST = 6; // of supply; tenants: times that
    private static final int FAILURES = 4, LOST_WORK = 2; // a row that ejects; lost work's weight in it
    private static final double MOST_EJECTED = 0.5; // of the ready caches; if more fail, they share a cause
    private static final long HICCUP = SECOND / 2; // silence beyond a connection time that may be a pause
    private static final long EJECT_AIMS = 2; // first, by the shortest aim; doubles three times
    private static final double START_WINDOW = 8, LEAST_WINDOW = 0.1, OVER_WINDOW = 0.5; // own work out
    private static final double SLOW_ANSWER = 0.6, WINDOW_CUT = 0.75; // part of the aim from which it shrinks
    private static final double PATIENCE = 0.8; // part of its time after which a safe request moves on
    private static final double ANOTHER = 1.2, LATE = 2.5; // of the usual answer time: for another; is late
    private static final int SLOTS = 128, SALTS = 128; // least places of caches; hashes tried for a key
    private static final int FEW = 3; // reads of a key that are chance
    private static final double HOT_SHARE = 0.3, HOT_MISSES = 0.25; // of a fair share: then it is spread
    private static final double FADE = 0.987; // of the counts an interval, so that they span some 20 s
    private static final double PASSED_ON = 0.7; // of a neighbour's counts: some eight routers pool theirs
    private static final double COLD_PART = 0.5; // of the stated multiple: load that a cold member may get
    private static final double ALL = 2, LEAST_ADMITTED = 0.3; // admission: all work; 1 is all within share
    private static final double ADMIT_CUT = 0.8, ADMIT_GROWTH = 0.08; // an interval: overloaded; not
    private static final double OVERLOAD = 0.1, COLLAPSE = 0.3; // attempts gone wrong: over-share cut; all
    private static final long CROWDED = 20 * SECOND; // after a refusal, closes idle connections
    private static final Set<Outcome> SENT_NOTHING = EnumSet.of(
            Outcome.CONNECT_FAILED, Outcome.UNSENT, Outcome.MOOT); // that came whole to a member
    private static final Set<Outcome> NOTHING_BACK = EnumSet.of(Outcome.CONNECT_FAILED, Outcome.UNSENT,
            Outcome.MOOT, Outcome.TIMEOUT, Outcome.CANCELLED); // no sign of life; we end these ourselves
    private static final int TICK_TAG = 1, SUBSCRIBE_TAG = 2;

    private Settings settings;
    private final SplittableRandom random;
    private final long salt;
    private long eject;
    private final Fleet fleet = new Fleet();
    private final Supply supply;
    private final Requests requests = new Requests();
    private long now;
    private Consumer<Action> out;

    /** Creates the router's instance. */
    public Brain(Settings settings, long seed) {
        random = new SplittableRandom(seed);
        salt = JumpHash.mix(seed);
        retune(settings);
        supply = new Supply();
    }

    /** Takes an event and hands the actions that answer it to {@code actions}, in their order. */
    public void handle(long clockNanos, Event event, Consumer<Action> actions) {
        now = clockNanos;
        out = actions;
        if (event instanceof RequestArrived e) requests.arrived(e);
        else if (event instanceof AttemptEnded e) requests.ended(e);
        else if (event instanceof TimerFired e) timer(e.tag());
        else if (event instanceof MembersChanged e) fleet.changed(e);
        else if (event instanceof PeerMessage e) supply.received(e);
        else if (event instanceof ClientGone e) requests.over(e.request(), true);
        else if (event instanceof StreamEstablished e) requests.over(e.request(), false);
        else if (event instanceof Started) start();
        else if (event instanceof Rests e) supply.rest(e.rests());
        else if (event instanceof TierSeen e) supply.seen(e);
        else if (event instanceof Retuned e) retune(e.settings());
    }

    /** What comes from now on comes with these; jobs keep what they came with. */
    private void retune(Settings changed) {
        settings = changed;
        var aims = changed.classes().stream().mapToLong(RequestClass::aimNanos);
        eject = EJECT_AIMS * aims.min().orElse(SECOND);
    }

    /** How many listed caches get nothing now: they drain, or are left alone. */
    public int avoided() { return (int) fleet.servers.values().stream().filter(Server::isAvoided).count(); }

    private void start() {
        supply.start();
        out.accept(new SetTimer(TICK_TAG, pace()));
        if (settings.askedDiscovery()) fleet.subscribeWithin(Math.min(SECOND, settings.routers() * TICK));
    }

    private void timer(int tag) {
        if (tag == SUBSCRIBE_TAG) out.accept(new Subscribe());
        if (tag != TICK_TAG) return;
        supply.tick();
        requests.tick();
        out.accept(new SetTimer(TICK_TAG, pace()));
    }

    private long pace() { return Math.max(TICK, settings.tickNanos()); }

    /** A member's health and load, as far as this router can tell. */
    private final class Server extends Health {
        Member member;
        long crowdedUntil;
        final ColdBucket bucket;

        Server(Member member) {
            super(START_WINDOW, eject);
            this.member = member;
            bucket = new ColdBucket(JumpHash.unit(JumpHash.mix(member.id() ^ salt)));
        }

        long id() { return member.id(); }

        boolean ready() { return member.isReady(); }

        boolean isOrigin() { return member.kind() == settings.originKind(); }

        /** Guards against dead members behind a stale list: after an ejection one request tries it. */
        boolean usable() { return ready() && (failures < FAILURES || triable()); }

        boolean isAvoided() { return !isOrigin() && !member.isGone() && !usable(); }

        boolean triable() { return outstanding == 0 && now >= ejectedUntil; }

        boolean hasRoom(double part) { return hasRoom(part, requests.answerTime, now); }

        /** Whether nothing has come back for longer than a connection may take to come up. */
        boolean silent() { return silentFor(now) > settings.limits().connectTimeoutNanos(); }

        boolean dead() { return silentFor(now) > HICCUP + settings.limits().connectTimeoutNanos(); }

        /** Whether an attempt went out while first connections came up, as far as one can tell. */
        boolean early(long duration) {
            long most = HICCUP + settings.limits().connectTimeoutNanos();
            return provenAt == 0 ? now - firstSentAt <= most : now - duration < provenAt;
        }

        void answered(boolean slow, long duration) {
            failures = 0;
            ejection = eject;
            prove(now);
            // Guards against narrowing a first window for what its connection took to come up.
            if (slow && !early(duration)) shrink(duration);
            else grow();
        }

        /** Misses alone bring one back that was left alone, but slowly: each answered trial counts one. */
        void missed() {
            prove(now);
            if (failures >= FAILURES && now >= ejectedUntil) failures = Math.min(failures - 1, 2 * FAILURES);
        }

        void failed(long duration, int weight, boolean refused) {
            // Guards against ejecting for what handshakes do to it; one that is down refuses connections.
            boolean spared = early(duration) && !refused;
            failedAt = now; // only here: mishaps befall all answers alike, and would hide one that is sick
            if (!spared) shrink(duration);
            fail(spared ? 0 : weight);
        }

        /** Ejection is relative to the farm: what befalls most caches at once tells nothing of this one. */
        void fail(int weight) {
            boolean common = fleet.strained();
            if (common) fleet.health.forgive(now - eject, HICCUP, FAILURES, fleet.fairWindow(), now);
            failures += weight;
            // Guards against counting one mishap many times: nothing is sent while it is left alone.
            if (failures < FAILURES || now < ejectedUntil) return;
            boolean spared = common || fleet.health.ejectedPart(FAILURES) > MOST_EJECTED;
            if (spared && !dead()) {
                failures = FAILURES - 1;
                return;
            }
            // In which two requests for it come; just after a start nobody knows how many come.
            Tally arrivals = requests.arrivals;
            double two = arrivals.isSettled() ? 2 * SECOND * fleet.readyCaches / arrivals.perSecond() : 0;
            eject((long) Math.max(ejection, Math.min(two, 8 * eject)), now);
            if (!common) ejection = Math.min(2 * ejection, 8 * eject);
        }

        void shrink(long duration) {
            boolean common = !isOrigin() && fleet.strained();
            shrink(duration, WINDOW_CUT, common ? fleet.fairWindow() : LEAST_WINDOW, now);
        }

        /** The stated warm-up: the part of its work that a starting member is due. */
        double warmth() { return settings.rules().warmth(member.upSinceNanos(), now); }

        /** Guards against pushing over a cold member: it gets the keys it is due, by rating, on a budget. */
        boolean admits(long hash) {
            double warmth = warmth();
            if (JumpHash.unit(hash ^ id()) >= warmth * member.rating() / fleet.topRating) return false;
            if (warmth >= 1) return true;
            double rate = requests.arrivals.perSecond() * warmth * COLD_PART
                    * settings.rules().overloadFactor() / Math.max(1, fleet.readyCaches);
            return bucket.take(rate, settings.rules().fallNanos(), now);
        }
    }

    /** Membership: who may be sent to, and which cache a key belongs to. */
    private final class Fleet {
        final TreeMap<Long, Server> servers = new TreeMap<>();
        /** Caches by their ids, with room to spare; the same at every router that has the same list. */
        Server[] slots = new Server[SLOTS];
        final KeyCounts keys = new KeyCounts();
        final FarmHealth health = new FarmHealth();
        /** Where misses are fetched; null where caches fetch themselves, or none is ready. */
        Server origin;
        double topRating = 1;
        int readyCaches, failedCalls;

        void changed(MembersChanged e) {
            if (e.kind() == ListKind.FAILED) {
                subscribeWithin(SECOND << Math.min(failedCalls++, 2));
                return;
            }
            if (e.kind() != ListKind.CACHED) failedCalls = 0;
            if (e.kind() != ListKind.DELTA) {
                Set<Long> listed = new HashSet<>();
                e.members().forEach(m -> listed.add(m.id()));
                for (Server s : servers.values()) if (!listed.contains(s.id())) s.member = s.member.gone();
            }
            e.members().forEach(this::update);
            boolean aside = settings.mode() == CacheMode.ASIDE;
            origin = servers.values().stream().filter(s -> aside && s.isOrigin() && s.ready())
                    .findFirst().orElse(null);
            // Guards against a map that grows with every member that was ever replaced.
            servers.values().removeIf(s -> s.member.isGone() && s.outstanding == 0);
            List<Server> caches = servers.values().stream().filter(s -> !s.isOrigin() && !s.member.isGone())
                    .toList();
            place(caches);
            readyCaches = (int) caches.stream().filter(Server::ready).count();
            health.ready(caches.stream().filter(Server::ready).toList());
            topRating = caches.stream().mapToDouble(s -> s.ready() ? s.member.rating() : 0).max().orElse(1);
        }

        /**
         * Guards against moving other caches' keys when one leaves or comes: its slot alone empties or fills.
         * As slots follow from the list and not from its history, routers that started later have the same.
         */
        void place(List<Server> caches) {
            slots = new Server[Math.max(SLOTS, 8 * Integer.highestOneBit(caches.size()))];
            for (Server s : caches) {
                long hash = JumpHash.mix(s.id());
                while (slots[JumpHash.bucket(hash, slots.length)] != null) hash = JumpHash.mix(hash + 1);
                slots[JumpHash.bucket(hash, slots.length)] = s;
            }
        }

        void update(Member m) {
            if (m.isGone() && !servers.containsKey(m.id())) return;
            Server s = servers.computeIfAbsent(m.id(), id -> new Server(m));
            if (m.upSinceNanos() != s.member.upSinceNanos()) s.restarted();
            s.member = m;
        }

        /** Whether most caches have failed within the time that one would be left alone for. */
        boolean strained() { return health.failedPart(now - eject) > MOST_EJECTED; }

        /** Whether most caches have only begun to answer, or fail together: then none is full for good. */
        boolean unsettled() { return strained() || health.provenPart(now - HICCUP) < MOST_EJECTED; }

        /** What this router's work needs at the usual answer time, were it spread evenly. */
        double fairWindow() {
            double out = requests.arrivals.perSecond() * requests.answerTime / SECOND;
            return Math.max(1, Math.min(START_WINDOW / 2, out / Math.max(1, readyCaches)));
        }

        void subscribeWithin(long t) { out.accept(new SetTimer(SUBSCRIBE_TAG, 1 + random.nextLong(t))); }

        /** The cache of a key by jump consistent hash; null if none is to be used. */
        Server home(long key, Server not) {
            // A key that meets an empty slot, or a new member not due it yet, stays where it was before.
            for (int salt = 0; salt < SALTS && readyCaches > 0; salt++) {
                long hash = salt == 0 ? key : JumpHash.mix(key + salt * 0x9e3779b97f4a7c15L);
                Server s = slots[JumpHash.bucket(hash, slots.length)];
                if (s != null && s != not && s.usable() && s.admits(hash)) return s;
            }
            // Of few caches all the hashes may have missed the one that is left.
            for (Server s : slots) if (s != null && s != not && s.usable() && s.admits(key)) return s;
            return null;
        }

        /** Guards against a hot key overloading its cache by copies; fewer the more reads find them void. */
        long spread(long key) {
            keys.read(key);
            double fairShares = keys.share(key) * readyCaches;
            if (fairShares < HOT_SHARE || keys.pooledReads(key) < FEW) return key;
            double kept = Math.max(0, 1 - keys.missedPart(key) / HOT_MISSES);
            int copy = random.nextInt(1 + (int) Math.min(kept * fairShares / HOT_SHARE, readyCaches - 1));
            return copy == 0 ? key : JumpHash.mix(key + copy);
        }
    }

    /** The origin's budget and the tenants' shares, moved between ring neighbours by the fill-ratio gap. */
    private final class Supply {
        final int evenShare = Account.WHOLE / settings.routers();
        final Account origin = new Account(START_RATE * settings.routers(), evenShare);
        final List<Account> accounts = new ArrayList<>(List.of(origin));
        final List<Neighbour> neighbours = new ArrayList<>();
        /** Whether it uses its supply: not before its buddy has heard that it is there. */
        boolean joined, resting, bound, calm = true;
        int life, busyIntervals;
        long startedAt, lastTick, nextInterval, cutAt = -3600 * SECOND;
        double futile;
        final FetchTimes fetchTimes = new FetchTimes();
        final Tally delivered = new Tally();

        Supply() {
            settings.tenants().stream().limit(SupplyMessage.MOST_ACCOUNTS - 1)
                    .forEach(t -> accounts.add(new Account(t.quotaPerSecond(), evenShare)));
        }

        void start() {
            startedAt = lastTick = now;
            nextInterval = now + INTERVAL;
            life = (int) (now / (SECOND / 1000));
            if (life == 0) life = 1;
            int n = settings.routers();
            if (n > 1 && settings.limits().peers()) meet((settings.me() + 1) % n);
            if (n > 2 && settings.limits().peers()) meet((settings.me() + n - 1) % n);
            joined = neighbours.isEmpty();
        }

        /** Guards against a supply that two processes of one router use at once: one of them rests. */
        void rest(boolean rests) {
            if (resting = rests) return;
            neighbours.clear();
            busyIntervals = 0;
            start();
        }

        void seen(TierSeen e) { neighbours.forEach(n -> n.seen(e)); }

        void meet(int peer) {
            Neighbour e = new Neighbour(settings.me(), settings.routers(), peer, accounts, now);
            neighbours.add(e);
            e.asked(now);
            send(e, true);
        }

        /** Until it has seen what is asked for here, nothing moves by a demand that is only the floor. */
        boolean starting() { return busyIntervals < 2 && now - startedAt < 2 * SECOND; }

        void send(Neighbour to, boolean ask) {
            var keys = fleet.keys.tell(to.peer, SupplyMessage.room(accounts.size()), PASSED_ON);
            SupplyMessage m = to.message(ask, starting(), life, origin.rate, keys);
            out.accept(new TellPeer(to.peer, m.encode()));
        }

        void received(PeerMessage e) {
            SupplyMessage m = SupplyMessage.decode(e.payload(), accounts.size());
            for (Neighbour n : neighbours) {
                if (n.peer != e.from()) continue;
                if (m != null) received(n, m);
                else n.isThere(now); // of another build: what it says is passed over
            }
        }

        void received(Neighbour from, SupplyMessage m) {
            // Guards against a clock set back between two lives: this must be the later.
            if (m.to() != 0 && m.to() - life > 0) life = m.to() + 1 == 0 ? 1 : m.to() + 1;
            boolean knew = from.known(), news = from.hear(m, life, now);
            if (news) {
                // Neighbours learn R together, each from few fetches; a new one takes it over.
                double part = !m.known() ? 0 : !knew && starting() ? 1 : 0.25;
                origin.rate = Math.pow(origin.rate, 1 - part) * Math.pow(m.rate(), part);
                fleet.keys.hear(from.peer, m.popular());
                joined |= neighbours.stream().allMatch(Neighbour::answered);
                for (int a = 0; a < accounts.size() && from.mayMove() && !starting(); a++)
                    from.move(a, wanted(accounts.get(a), m.held()[a], m.demand()[a]));
            }
            if (m.ask() && (news || m.from() != from.life())) send(from, false);
        }

        /** What is to move to the neighbour, by the fill-ratio gap. */
        int wanted(Account own, int theirs, double theirDemand) {
            double demand = own.demand.perSecond(), gap = own.held() / demand - theirs / theirDemand;
            return (int) (ETA * gap * 2 * demand * theirDemand / (demand + theirDemand));
        }

        void tick() {
            joined |= now - startedAt >= INTERVAL;
            for (Account a : accounts) {
                double burst = Math.max(1, a.supply() * BURST_SECONDS) * (a == origin ? 1 : TENANT_BURST);
                if (joined && !resting) a.accrue((double) (now - lastTick) / SECOND, burst);
            }
            lastTick = now;
            if (now >= nextInterval) interval();
            double five = 5 * SECOND / requests.arrivals.perSecond(); // five requests bear one exchange
            long usual = (long) Math.max(INTERVAL, Math.min(SECOND, five));
            for (Neighbour e : resting ? List.<Neighbour>of() : neighbours) {
                e.look(now);
                boolean doubt = e.missed(SILENCE / 2, now) || !joined && !e.answered();
                if (now - e.askedAt() < (doubt ? INTERVAL / 5 : usual)) continue;
                if (e.vanished(SILENCE, now)) e.inherit();
                e.asked(now);
                if (e.lower || doubt || !e.known()) send(e, true);
            }
        }

        void interval() {
            nextInterval = now + INTERVAL;
            if (requests.arrivals.isKnown()) busyIntervals++;
            accounts.forEach(a -> a.demand.endInterval(INTERVAL_SECONDS, DEMAND_WEIGHT));
            delivered.endInterval(INTERVAL_SECONDS, DELIVERED_WEIGHT);
            // Guards against a budget that grows unused, or before the queue of the last overload has gone.
            // Or while the ring has brought next to nothing of it: then a larger R is not what is missing.
            double growth = 1 + GROWTH * Math.max(2.5, (double) (now - cutAt) / SECOND);
            boolean grows = bound && !resting && calm && origin.held() > evenShare / 4;
            if (grows && now - cutAt > 2 * INTERVAL) origin.rate *= Math.min(MOST_GROWTH, growth);
            bound = false;
            requests.interval();
            fleet.keys.fade(FADE);
        }

        /** Guards against turning work away because the ring has not yet brought the share that it is due. */
        boolean exceeds(int account) {
            Account a = account < accounts.size() ? accounts.get(account) : null;
            return a != null && !a.ask() && a.held() > evenShare / 16 && now - startedAt > 2 * SECOND;
        }

        boolean take() { return origin.take() || !(bound = true); }

        /** Learns R from how a fetch went; overload cuts it once for what was sent since the last cut. */
        void fetchEnded(Outcome outcome, long duration, long aim, boolean givenUp) {
            futile += 0.05 * ((givenUp ? 1 : 0) - futile);
            if (outcome == Outcome.OK) {
                delivered.count();
                fetchTimes.took(duration);
            }
            calm = fetchTimes.calm(aim);
            fetchTimes.ended(outcome == Outcome.FULL || outcome == Outcome.TIMEOUT);
            boolean again = now - cutAt <= Math.max(2 * INTERVAL, fetchTimes.recent());
            if (!fetchTimes.overloaded(aim) || again || origin.held() <= 0) return;
            cutAt = now;
            fetchTimes.forget();
            // Guards against a cut by what was delivered where nothing could be yet: just after a start.
            double seen = delivered.perSecond() * Account.WHOLE / origin.held();
            seen = delivered.isSettled() ? Math.max(origin.rate / 2, seen) : origin.rate;
            origin.rate = Math.max(settings.routers(), CUT * Math.min(origin.rate, seen));
        }
    }

    /** The path of each request, from its arrival to its one final answer. */
    private final class Requests {
        final Map<Long, Job> jobs = new HashMap<>();
        final TreeSet<Job> byGiveUp = new TreeSet<>(Job.order(j -> j.dueAt)); // open ones alone
        final PriorityQueue<Job> waiting = Job.queue(j -> j.wakeAt);
        /** Waiting for supply: work within shares first, then the latest, as it has time left for its aim. */
        final PriorityQueue<Job> held = Job.queue(j -> (j.overShare ? 3600 * SECOND : 0) - j.arrivedAt);
        /** Waiting for room at a cache, in the same order. */
        final PriorityQueue<Job> roomless = Job.queue(j -> -j.arrivedAt);
        final Map<Long, Job> fetches = new HashMap<>();
        final Tally arrivals = new Tally();
        double tried, bad, answerTime, admitted = ALL;

        void arrived(RequestArrived e) {
            arrivals.count();
            boolean overShare = !settings.lists(e.tenant()) || supply.exceeds(e.tenant() + 1);
            RequestClass type = settings.classes().get(e.requestClass());
            long last = e.ttlNanos() - 2 * pace();
            long useful = type.lateShare() > 0 ? last : Math.min(last, type.aimNanos());
            Job job = new Job(e, type, settings.limits().attempts(), now, now + useful, overShare);
            jobs.put(e.request(), job);
            // Guards against holding work for which nothing was done until its client could go nowhere else.
            job.dueAt = Math.min(job.giveUpAt, now + e.ttlNanos() / 2 - 2 * pace());
            byGiveUp.add(job);
            // Guards against an overload that serves nobody: over-share work is turned away first, and early.
            boolean shed = random.nextDouble() >= (overShare ? admitted - 1 : admitted);
            // Guards against a try with so little time left that the next housekeeping comes too late.
            if (job.giveUpAt <= now) decline(job);
            else if (shed) overflow(job, false);
            else route(job, null);
        }

        void route(Job job, Server not) {
            boolean aside = fleet.origin != null;
            long named = job.asked.key();
            long key = named != 0 ? fleet.spread(named) : JumpHash.mix(job.asked.request());
            Server home = job.asked.write() && aside ? null : fleet.home(key, not);
            double part = job.overShare ? OVER_WINDOW : 1;
            boolean spill = home != null && !home.hasRoom(part) && not == null && !job.overShare;
            if (spill) home = fleet.home(key, home);
            if (home == null && aside) fetch(job);
            else if (home != null && home.hasRoom(part)) send(job, home);
            else overflow(job, home != null && fleet.unsettled());
        }

        /**
         * Work within its share that the caches cannot take counts as a miss while supply is left over. At a
         * start, or where most caches fail together, the rest waits for room.
         */
        void overflow(Job job, boolean patient) {
            if (!job.waited) supply.origin.demand.count();
            job.waited |= patient && !job.overShare;
            if (fleet.origin != null && !job.overShare && held.isEmpty() && pay()) send(job, fleet.origin);
            else if (job.waited) roomless.add(job);
            else decline(job);
        }

        /** Guards against bursts of more connections than the origin admits: it has a window too. */
        boolean pay() { return fleet.origin.hasRoom(1) && supply.take(); }

        void send(Job job, Server to) {
            boolean spent = job.mayHaveRun && !job.repeatable(now);
            if (spent || !mayTry(job, 1) || job.giveUpAt <= now) {
                decline(job);
                return;
            }
            job.attempts++;
            job.open = true;
            to.sent(now);
            boolean movable = !to.isOrigin() && job.type.effect() == Effect.PURE && !job.type.stream();
            long left = job.giveUpAt - now;
            // Guards against moving on too early, or too late for another answer.
            double most = left - ANOTHER * answerTime;
            long timeout = movable && most > LATE * answerTime ? (long) Math.min(most, left * PATIENCE) : 0;
            out.accept(new Send(job.asked.request(), to.id(), timeout, job.sentBy()));
        }

        /** A miss or a write: joins a fetch of its key that is out, else pays from supply, else is held. */
        void fetch(Job job) {
            supply.origin.demand.count();
            long key = job.asked.key();
            if (!job.asked.write() && key != 0) {
                fleet.keys.missed(key);
                Job leader = fetches.putIfAbsent(key, job);
                if (leader == null) {
                    job.followers = new ArrayList<>();
                } else if (leader != job && mayTry(job, 2)) {
                    leader.followers.add(job);
                    return;
                }
            }
            hold(job);
        }

        boolean mayTry(Job job, int times) { return job.attempts + times <= job.most; }

        void hold(Job job) {
            // Guards against one that waits for supply, and takes some, though it has no attempt left.
            if (mayTry(job, 1)) held.add(job);
            else decline(job);
            release();
        }

        void wait(Job job, double nanos) {
            job.wakeAt = now + (long) nanos;
            waiting.add(job);
        }

        void release() {
            while (!held.isEmpty()) {
                Job job = held.peek();
                boolean tooLate = job.giveUpAt - now < supply.fetchTimes.recent() || fleet.origin == null;
                if (!job.done && !tooLate && !pay()) return;
                held.poll();
                if (!job.done && tooLate) decline(job);
                else if (!job.done) send(job, fleet.origin);
            }
        }

        void ended(AttemptEnded e) {
            Server server = fleet.servers.get(e.member());
            Job job = jobs.get(e.request());
            if (job != null && !e.concluded() && !job.awaits(e.attempt())) return; // late, or told twice
            if (server != null) judge(server, e, job);
            if (job != null) next(job, e, server);
            admitRoomless();
        }

        /** Two at most, as one attempt has ended: each looks for room again. */
        void admitRoomless() {
            for (int i = 0; i < 2 && !roomless.isEmpty(); i++) {
                Job job = roomless.poll();
                if (!job.done) route(job, null);
            }
        }

        void next(Job job, AttemptEnded e, Server server) {
            boolean aside = settings.mode() == CacheMode.ASIDE;
            job.open = false;
            job.mayHaveRun |= !e.outcome().neverRan();
            job.reached |= !SENT_NOTHING.contains(e.outcome());
            if (e.concluded()) finish(job);
            else if (job.mayHaveRun && !job.repeatable(now)) decline(job);
            else if (server != null && server.isOrigin()) hold(job);
            // Another cache would miss, and then there is no attempt left for the origin.
            else if (e.outcome() != Outcome.MISS && aside && !mayTry(job, 2)) fetch(job);
            // Any member may spoil an answer or lose a connection: the key is still where it was.
            else if (e.outcome().isMishap()) route(job, null);
            else if (e.outcome() != Outcome.MISS || !aside) route(job, server);
            else if (e.fetching() && mayTry(job, 2)) wait(job, supply.fetchTimes.recent());
            else fetch(job);
        }

        /** What an outcome tells of the member's health, and of overload. */
        void judge(Server server, AttemptEnded e, Job job) {
            server.ended();
            long aim = (job != null ? job.type : settings.classes().get(0)).aimNanos();
            long duration = e.durationNanos();
            boolean served = e.outcome() == Outcome.OK || e.outcome() == Outcome.MISS;
            boolean slow = duration > SLOW_ANSWER * aim;
            boolean refused = e.outcome() == Outcome.CONNECT_FAILED;
            boolean notUp = refused || e.outcome() == Outcome.UNSENT;
            // Nothing was sent: that tells of this router alone, or of a handshake that needs its time.
            if (e.outcome() == Outcome.MOOT || e.outcome() == Outcome.UNSENT && !server.silent()) return;
            // What had little time from the start tells of the request and not of the member.
            if (e.outcome() == Outcome.TIMEOUT && !slow && !server.isOrigin()) return;
            if (!NOTHING_BACK.contains(e.outcome())) server.cameBack();
            if (e.outcome().isMishap()) {
                // Guards against sparing members for what happens to all answers alike and tells nothing of
                // their load. Only one that answers nothing else for a while is left alone.
                if (!server.isOrigin()) server.fail(1);
                return;
            }
            if (refused) server.crowdedUntil = now + CROWDED;
            // Guards against a member's connections being used up by idle ones of many routers. Not every
            // member's: a process that died refuses too, and each request would cost a handshake.
            if (now < server.crowdedUntil && server.outstanding == 0) out.accept(new CloseIdle(server.id()));
            if (server.isOrigin()) {
                supply.fetchEnded(e.outcome(), duration, aim, job == null);
                if (notUp) server.shrink(duration);
                else if (e.outcome() == Outcome.OK) server.answered(false, duration);
                return;
            }
            // Guards against a few sick caches closing the door: a trial tells of the cache, not of the load,
            // and a first attempt of its connection.
            if (server.failures < FAILURES && !server.early(duration)) {
                tried++;
                if (slow || !served) bad++;
            }
            // A miss is answered beside the queue and tells nothing of a cache that is overrun. A full answer
            // ejects: many routers' next requests would keep a full cache from the rest it needs.
            if (e.outcome() == Outcome.OK) {
                server.answered(slow, duration);
                 answerTime += 0.05 * (duration - answerTime);
            } else if (served) {
                server.missed();
            } else if (e.outcome() != Outcome.CANCELLED || slow) {
                // Of a large fleet's cache one failure is all the warning before the next request; but a
                // popular key that is slow to serve must not drive its load from cache to cache.
                boolean popular = job != null && fleet.keys.reads(job.asked.key()) >= FEW;
                boolean seldom = fleet.readyCaches > arrivals.perSecond() && (notUp || !popular);
                boolean ejects = e.outcome() == Outcome.FULL || seldom;
                server.failed(duration, ejects ? FAILURES : notUp ? 1 : LOST_WORK, refused);
            }
        }

        /** The final answer of a request that is not served: refused where the rules allow, else failed. */
        void decline(Job job) {
            long retryAfter = settings.limits().retryAfter() ? settings.limits().maxRetryAfterNanos() : 0;
            boolean refusable = !(job.mayHaveRun || job.open) || job.repeatsAreHarmless();
            cancel(job);
            long request = job.asked.request();
            out.accept(refusable ? new Refuse(request, retryAfter) : new Fail(request));
            finish(job);
        }

        void cancel(Job job) {
            // Guards against caches that run empty while the origin takes longer than requests have time.
            boolean fills = job.followers != null && supply.futile > FUTILE;
            if (job.open && !fills && settings.limits().cancel())
                out.accept(new Cancel(job.asked.request(), job.attempts - 1));
        }

        /** Nothing more is owed: the client has left, or its stream has begun. */
        void over(long request, boolean cancel) {
            Job job = jobs.get(request);
            if (job != null && cancel) cancel(job);
            if (job != null) finish(job);
        }

        void finish(Job job) {
            job.done = true;
            jobs.remove(job.asked.request());
            byGiveUp.remove(job);
            if (job.followers == null) return;
            fetches.remove(job.asked.key());
            job.followers.forEach(follower -> wait(follower, 0));
        }

        void tick() {
            while (!byGiveUp.isEmpty() && byGiveUp.first().dueAt <= now) {
                Job job = byGiveUp.pollFirst();
                if (job.giveUpAt <= now || !job.open && !job.reached) decline(job);
                else {
                    job.dueAt = job.giveUpAt;
                    byGiveUp.add(job);
                }
            }
            while (!waiting.isEmpty() && waiting.peek().wakeAt <= now) {
                Job job = waiting.poll();
                if (!job.done) route(job, null);
            }
            release();
            // Guards the heap in a lasting shortage: what has its answer lies under what came later.
            for (PriorityQueue<Job> queue : List.of(held, roomless)) queue.removeIf(j -> j.done);
            admitRoomless();
        }

        void interval() {
            arrivals.endInterval(INTERVAL_SECONDS, DEMAND_WEIGHT);
            double most = bad > OVERLOAD * tried + 1 ? 1 : ALL;
            if (bad > COLLAPSE * tried + 1) admitted = Math.max(LEAST_ADMITTED, admitted * ADMIT_CUT);
            else if (admitted > most) admitted = Math.max(most, admitted * ADMIT_CUT);
            else admitted = Math.min(most, admitted + ADMIT_GROWTH);
            tried *= 0.5;
            bad *= 0.5;
        }
    }
}
