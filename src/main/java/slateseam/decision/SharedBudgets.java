package slateseam.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import slateseam.decision.Api.Holding;
import slateseam.decision.Api.PeerMessage;
import slateseam.decision.Api.TellPeer;
import slateseam.decision.Api.TierSeen;

/**
 * Divides the origin's fetch budget and the tenants' shares among all routers. Each router holds a part of every budget
 * (its supply) and exchanges supply with its ring neighbours, and with the partners of its {@link SupplyLinks}, so that
 * the fill ratio (supply divided by demand) becomes equal everywhere. This class decides when to exchange and how much
 * to move; {@link Neighbour} and {@link Ledger} record what was moved.
 *
 * <p>R is the origin's budget of the whole tier in fetches per second, as {@link OriginRate} learns it.
 */
final class SharedBudgets {
    /**
     * A neighbour that stays silent for this many of its usual message intervals counts as dead; chance loses fewer.
     */
    private static final int SILENCE = 4;
    /**
     * Fraction of the fill-ratio gap that one exchange with a ring neighbour moves: 1/(2d) of the published diffusion
     * algorithm, with d = 2 neighbours, here scaled by demand.
     */
    private static final double ETA = 0.25;
    /** Initial value of R, in fetches per second for each router; R is learned from then on. */
    private static final double START_RATE = 40;

    /** Unused supply accumulates for at most this long. */
    private static final double BURST_SECONDS = 0.25;
    /** Burst of a tenant's share, as a multiple of the origin budget's burst for the same supply. */
    private static final double TENANT_BURST = 6;
    /**
     * Weight at which one neighbour's key counts are forwarded to the other: some eight routers then pool their
     * counts.
     */
    private static final double PASSED_ON = 0.7;
    /** Weight of a ring neighbour's R when it is merged into this router's R. */
    private static final double RATE_WEIGHT = 0.25;
    /** One exchange with each neighbour is justified by this many requests. */
    private static final double REQUESTS_AN_EXCHANGE = 5;
    /**
     * All pages after the first are sent within this many exchanges, if there are enough requests to justify that many
     * messages.
     */
    private static final int EXCHANGES_A_ROUND = 8;

    /** Start-up period of a router, in nanoseconds, in which its demand and its shares may not be known yet. */
    private static final long START = 2 * Timing.SECOND;

    private final DecisionContext context;
    private final TrafficStats traffic;
    private final KeyCounts keys;
    private final int evenShare;
    private final Account origin;
    private final OriginRate originRate;
    private final List<Account> accounts = new ArrayList<>();
    /** The number of accounts on each page of the messages. */
    private final List<Integer> pages;

    /** The ring neighbours, then the partners of the supply links, with whom only the first page is exchanged. */
    private final List<Neighbour> neighbours = new ArrayList<>();

    private final SupplyLinks links;
    private final Set<Integer> partners;
    private final EarlierSupply earlier;
    /**
     * Whether this router uses its supply. A router that has just started does not before all neighbours have answered
     * or {@link Timing#INTERVAL} is over, as its ring successor may still use that supply on its behalf.
     */
    private boolean joined;

    /** Whether another process of this router uses the supply; see {@link Api.Rests}. */
    private boolean resting;
    /** Number of this run of the router, from its start time in milliseconds; never 0, which means "unknown". */
    private int life;
    /** Intervals since the first request of this run. */
    private int busyIntervals;

    private long startedAt;
    private long lastTick;
    private long nextInterval;

    SharedBudgets(DecisionContext context, TrafficStats traffic, KeyCounts keys, SupplyLinks links) {
        this.context = context;
        this.traffic = traffic;
        this.keys = keys;
        this.links = links;
        int routers = context.settings().routers();
        evenShare = Account.WHOLE / routers;
        origin = new Account(START_RATE * routers, evenShare);
        originRate = new OriginRate(context, origin, evenShare);
        accounts.add(origin);
        context.settings().tenants().forEach(tenant -> accounts.add(new Account(tenant.quotaPerSecond(), evenShare)));
        pages = SupplyMessage.pages(accounts.size());
        boolean peers = context.settings().limits().peers();
        partners = peers ? links.partners(context.settings().me(), routers) : Set.of();
        earlier = new EarlierSupply(firstPage());
    }

    OriginRate originRate() {
        return originRate;
    }

    void start() {
        long now = context.now();
        startedAt = now;
        lastTick = now;
        nextInterval = now + Timing.INTERVAL;
        life = (int) (now / (Timing.SECOND / 1000));
        if (life == 0) {
            life = 1;
        }
        int me = context.settings().me();
        int routers = context.settings().routers();
        boolean peers = context.settings().limits().peers();
        if (routers > 1 && peers) {
            meet((me + 1) % routers);
        }
        if (routers > 2 && peers) {
            meet((me + routers - 1) % routers);
        }
        partners.forEach(this::meet);
        joined = neighbours.isEmpty();
        earlier.start(!partners.isEmpty(), now);
    }

    private List<Account> firstPage() {
        return accounts.subList(0, pages.get(0));
    }

    /** Returns the part of the origin's budget that this router holds. */
    Holding holding() {
        return new Holding(origin, joined && !resting);
    }

    /**
     * Puts this process on standby or ends its standby. Two processes of one router, as in an upgrade, must not use
     * the supply at the same time. At the end of the standby the process joins the ring like a router that has just
     * started.
     */
    void rest(boolean rests) {
        resting = rests;
        if (rests) {
            return;
        }
        neighbours.clear();
        busyIntervals = 0;
        start();
    }

    /** Passes on to the neighbours what the tier's membership says about a router. */
    void seen(TierSeen event) {
        neighbours.forEach(neighbour -> neighbour.seen(event));
    }

    /** Adds a neighbour and sends it the first message. */
    private void meet(int peer) {
        long now = context.now();
        List<Account> shared = partners.contains(peer) ? firstPage() : accounts;
        Neighbour neighbour =
                new Neighbour(context.settings().me(), context.settings().routers(), peer, shared, now);
        neighbours.add(neighbour);
        neighbour.asked(now);
        send(neighbour, 0, true);
    }

    /**
     * Returns whether this router does not know its demand yet. Until then the demand is only its floor, and no supply
     * must move because of it.
     */
    private boolean starting() {
        return busyIntervals < 2 && context.now() - startedAt < START;
    }

    /**
     * Returns whether a neighbour is to be told that this router is starting. The ring successor is told so until it
     * has sent its reminder: it keeps what the previous run of this router reported for exactly as long.
     */
    private boolean starting(Neighbour to) {
        return starting() || awaitsWordOf(to);
    }

    private boolean awaitsWordOf(Neighbour neighbour) {
        return neighbour.heir && earlier.isWaiting();
    }

    private void send(Neighbour to, int page, boolean ask) {
        Map<Long, Double> popular =
                to.ring ? keys.tell(to.peer, SupplyMessage.room(page, pages.get(page)), PASSED_ON) : Map.of();
        SupplyMessage message = to.ledger(page).message(ask, starting(to), life, origin.rate, popular);
        context.emit(new TellPeer(to.peer, message.encode()));
    }

    /**
     * Tells a router that has just started what supply its previous run had. The ring successor always does; other
     * neighbours only if the previous run owed supply.
     */
    private void remind(Neighbour neighbour) {
        SupplyReminder reminder =
                partners.isEmpty() ? null : neighbour.ledger(0).reminder();
        if (reminder != null && (neighbour.buddy || reminder.owes())) {
            context.emit(new TellPeer(neighbour.peer, reminder.encode()));
        }
    }

    private void reminded(Neighbour by, SupplyReminder reminder) {
        if (reminder == null || reminder.to() != life || !by.ledger(0).known()) {
            return;
        }
        if (by.heir) {
            earlier.told(reminder);
        } else {
            earlier.toldByPartner(reminder);
        }
    }

    private boolean allKnown() {
        return neighbours.stream().allMatch(each -> each.ledger(0).known());
    }

    void received(PeerMessage event) {
        SupplyMessage message = SupplyMessage.decode(event.payload(), pages);
        for (Neighbour neighbour : neighbours) {
            if (neighbour.peer != event.from()) {
                continue;
            }
            if (!partners.isEmpty() && SupplyReminder.isOne(event.payload())) {
                reminded(neighbour, SupplyReminder.decode(event.payload(), pages.get(0)));
            } else if (message != null && (neighbour.ring || message.page() == 0)) {
                received(neighbour, message);
            } else {
                // A message of another version: its content is ignored, but its sender is evidently alive.
                neighbour.isThere(context.now());
            }
        }
    }

    private void received(Neighbour from, SupplyMessage message) {
        beginLaterLifeThan(message.to());
        Ledger ledger = from.ledger(message.page());
        boolean knew = ledger.known();
        earlier.hearing();
        boolean news = from.hear(message, life, context.now());
        if (message.page() == 0 && !knew && ledger.known()) {
            earlier.adopted(allKnown());
        }
        if (news) {
            take(from, message, knew);
        }
        if (message.ask() && (news || message.from() != ledger.life())) {
            send(from, message.page(), false);
        }
        if (message.page() == 0 && message.ask() && message.starting()) {
            remind(from);
        }
        if (from.ring && !knew && ledger.known()) {
            askForUnknownPage(from);
        }
    }

    /**
     * Raises the number of this run above the one that a neighbour knows. Guards against a clock that was set back
     * between two runs: the neighbour would ignore the messages of a run that seems to be the earlier.
     */
    private void beginLaterLifeThan(int earlierLife) {
        if (earlierLife != 0 && earlierLife - life > 0) {
            life = earlierLife + 1 == 0 ? 1 : earlierLife + 1;
        }
    }

    /**
     * Asks for the next page whose ledger is unknown. A router that has just started so takes over all pages without
     * waiting for their turn: the answer for one page triggers the request for the next.
     */
    private void askForUnknownPage(Neighbour of) {
        int page = of.unknownPage();
        if (page > 0) {
            send(of, page, true);
        }
    }

    /** Merges R and the popular keys of a message that is news, and moves supply by its figures. */
    private void take(Neighbour from, SupplyMessage message, boolean knew) {
        // Each router sees only few fetches, so neighbours average their R; a router that has just started adopts R.
        double weight = from.ring ? RATE_WEIGHT : links.rateWeight(partners.size());
        double part = message.page() > 0 || !message.known() ? 0 : !knew && starting() ? 1 : weight;
        origin.rate = Math.pow(origin.rate, 1 - part) * Math.pow(message.rate(), part);
        if (from.ring) {
            keys.hear(from.peer, message.popular());
        }
        joined |= neighbours.stream().allMatch(Neighbour::answered);
        Ledger ledger = from.ledger(message.page());
        for (int a = 0; a < message.held().length && ledger.mayMove() && !starting(from); a++) {
            ledger.move(
                    a,
                    wanted(ledger.account(a), message.rate(), message.held()[a], message.demand()[a], movedPart(from)));
        }
    }

    private double movedPart(Neighbour with) {
        return with.ring ? ETA : SupplyLinks.movedPart(partners.size());
    }

    /**
     * Returns how many units are to move to the neighbour, by the gap between the two fill ratios; below 0 if they
     * are to come from the neighbour.
     */
    private static int wanted(Account own, double rate, int theirs, double theirDemand, double movedPart) {
        double demand = own.fillDemand(rate);
        double gap = own.held() / demand - theirs / theirDemand;
        return (int) (movedPart * gap * 2 * demand * theirDemand / (demand + theirDemand));
    }

    /** Adds the supply that has accrued since the last call. Called at each tick. */
    void accrue() {
        long now = context.now();
        joined |= now - startedAt >= Timing.INTERVAL;
        earlier.pass(neighbours.stream().anyMatch(each -> each.heir && each.answered()), now);
        for (Account account : accounts) {
            double burst = Math.max(1, account.supply() * BURST_SECONDS) * (account == origin ? 1 : TENANT_BURST);
            if (joined && !resting) {
                account.accrue((double) (now - lastTick) / Timing.SECOND, burst);
            }
        }
        lastTick = now;
    }

    /** Returns whether the present measuring interval is over. */
    boolean intervalIsOver() {
        return context.now() >= nextInterval;
    }

    /** Ends a measuring interval: updates the demand of all accounts and R. */
    void endInterval() {
        nextInterval = context.now() + Timing.INTERVAL;
        if (traffic.arrivals.isKnown()) {
            busyIntervals++;
        }
        accounts.forEach(Account::endInterval);
        originRate.endInterval(resting);
    }

    /**
     * Starts an exchange with each neighbour that is due, and takes over the supply of a predecessor that has
     * vanished.
     */
    void exchange() {
        if (resting) {
            return;
        }
        long now = context.now();
        double bearable = REQUESTS_AN_EXCHANGE * Timing.SECOND / traffic.arrivals.perSecond();
        long usual = (long) Math.max(Timing.INTERVAL, Math.min(Timing.SECOND, bearable));
        for (Neighbour neighbour : neighbours) {
            neighbour.look(now);
            boolean doubt = neighbour.missed(SILENCE / 2, now) || !joined && !neighbour.answered();
            long pause = neighbour.ring ? usual : links.pause(neighbour.answered());
            if (now - neighbour.askedAt() < (doubt ? Timing.INTERVAL / 5 : pause)) {
                continue;
            }
            ask(neighbour, doubt, usual / bearable);
        }
    }

    private void ask(Neighbour neighbour, boolean doubt, double bearable) {
        // A router that waits for its reminder inherits nothing. Guards against a router that is cut off when it
        // starts and takes over supply whose amount it can only guess.
        if (!earlier.isWaiting() && neighbour.vanished(SILENCE, context.now())) {
            neighbour.inherit();
        }
        neighbour.asked(context.now());
        boolean awaits = awaitsWordOf(neighbour) || starting() && earlier.isWaiting();
        if (neighbour.lower || doubt || !neighbour.ledger(0).known() || awaits) {
            send(neighbour, 0, true);
        }
        if (!doubt && neighbour.ring) {
            askForFurtherPages(neighbour, bearable);
        }
    }

    /**
     * Asks for pages after the first, in turn: at least one, and no more than the requests since the last exchange
     * justify.
     */
    private void askForFurtherPages(Neighbour of, double bearable) {
        int further = pages.size() - 1;
        int most = (further + EXCHANGES_A_ROUND - 1) / EXCHANGES_A_ROUND;
        for (int i = 0; i < Math.min(most, Math.max(1, bearable)); i++) {
            int page = of.nextPage();
            if (of.lower || !of.ledger(page).known()) {
                send(of, page, true);
            }
        }
    }

    /** Counts a request for an origin fetch as demand, whether or not there is supply for it. */
    void countOriginDemand(boolean withinShare) {
        (withinShare ? origin.demand : origin.beyondShares).count();
    }

    /**
     * Charges a request to its tenant's share.
     *
     * @param tenant index of the tenant in the settings
     */
    ShareUse useShare(int tenant) {
        int index = tenant + 1;
        Account account = index < accounts.size() ? accounts.get(index) : null;
        // A router with next to nothing of the share does not count its requests as beyond it. Guards against refusing
        // work only because the ring has not yet moved the share here.
        if (account == null || account.ask() || account.held() <= evenShare / 16) {
            return ShareUse.WITHIN;
        }
        return context.now() - startedAt > START ? ShareUse.BEYOND : ShareUse.UNSETTLED;
    }
}
