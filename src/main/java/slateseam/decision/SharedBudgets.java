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
    private static final int SILENT_PAUSES_OF_DEAD = 4;
    /**
     * Fraction of the fill-ratio gap that one exchange with a ring neighbour moves: 1/(2d) as in the paper that
     * the exchange follows, with d = 2 neighbours; here scaled by demand.
     */
    private static final double RING_TRANSFER_FRACTION = 0.25;
    /** Initial value of R, in fetches per second for each router; R is learned from then on. */
    private static final double INITIAL_FETCHES_PER_SECOND = 40;

    /** Unused supply accumulates for at most this long. */
    private static final double BURST_SECONDS = 0.25;
    /** Burst of a tenant's share, as a multiple of the origin budget's burst for the same supply. */
    private static final double TENANT_BURST_FACTOR = 6;
    /**
     * Weight at which one neighbour's key counts are forwarded to the other: some eight routers then pool their
     * counts.
     */
    private static final double FORWARDED_READS_WEIGHT = 0.7;
    /** Weight of a ring neighbour's R when it is merged into this router's R. */
    private static final double RING_RATE_WEIGHT = 0.25;
    /** One exchange with each neighbour is justified by this many requests. */
    private static final double REQUESTS_PER_EXCHANGE = 5;
    /**
     * All pages after the first are sent within this many exchanges, if there are enough requests to justify that many
     * messages.
     */
    private static final int EXCHANGES_PER_PAGE_CYCLE = 8;

    /** Start-up period of a router, in nanoseconds, in which its demand and its shares may not be known yet. */
    private static final long START_UP_NANOS = 2 * Timing.SECOND;

    private final DecisionContext context;
    private final TrafficStats traffic;
    private final KeyCounts keys;
    private final int evenShare;
    private final Account origin;
    private final OriginRate originRate;
    private final List<Account> accounts = new ArrayList<>();
    /** The number of accounts on each page of the messages. */
    private final List<Integer> pageSizes;

    /** The ring neighbours, then the partners of the supply links, with whom only the first page is exchanged. */
    private final List<Neighbour> neighbours = new ArrayList<>();

    private final SupplyLinks links;
    private final Set<Integer> partners;
    private final EarlierSupply earlierSupply;
    /**
     * Whether this router uses its supply. A router that has just started does not before all neighbours have answered
     * or {@link Timing#INTERVAL} is over, as its ring successor may still use that supply on its behalf.
     */
    private boolean joined;

    /** Whether another process of this router uses the supply; see {@link Api.Rests}. */
    private boolean onStandby;
    /** Number of this run of the router, from its start time in milliseconds; never 0, which means "unknown". */
    private int runNumber;
    /** Measuring intervals since the first request of this run, including the one in which it arrived. */
    private int intervalsWithRequests;

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
        origin = new Account(INITIAL_FETCHES_PER_SECOND * routers, evenShare);
        originRate = new OriginRate(context, origin, evenShare);
        accounts.add(origin);
        context.settings().tenants().forEach(tenant -> accounts.add(new Account(tenant.quotaPerSecond(), evenShare)));
        pageSizes = SupplyMessage.pageSizes(accounts.size());
        boolean peers = context.settings().limits().peers();
        partners = peers ? links.partners(context.settings().me(), routers) : Set.of();
        earlierSupply = new EarlierSupply(firstPage());
    }

    OriginRate originRate() {
        return originRate;
    }

    void start() {
        long now = context.now();
        startedAt = now;
        lastTick = now;
        nextInterval = now + Timing.INTERVAL;
        runNumber = (int) (now / (Timing.SECOND / 1000));
        if (runNumber == 0) {
            runNumber = 1;
        }
        int me = context.settings().me();
        int routers = context.settings().routers();
        boolean peers = context.settings().limits().peers();
        if (routers > 1 && peers) {
            addNeighbour((me + 1) % routers);
        }
        if (routers > 2 && peers) {
            addNeighbour((me + routers - 1) % routers);
        }
        partners.forEach(this::addNeighbour);
        joined = neighbours.isEmpty();
        earlierSupply.start(!partners.isEmpty(), now);
    }

    private List<Account> firstPage() {
        return accounts.subList(0, pageSizes.get(0));
    }

    /** Returns the part of the origin's budget that this router holds. */
    Holding holding() {
        return new Holding(origin, joined && !onStandby);
    }

    /**
     * Puts this process on standby or ends its standby. Two processes of one router, as in an upgrade, must not use
     * the supply at the same time. At the end of the standby the process joins the ring like a router that has just
     * started.
     */
    void rest(boolean standby) {
        onStandby = standby;
        if (standby) {
            return;
        }
        neighbours.clear();
        intervalsWithRequests = 0;
        start();
    }

    /** Passes on to the neighbours what the tier's membership says about a router. */
    void seen(TierSeen event) {
        neighbours.forEach(neighbour -> neighbour.tierChanged(event));
    }

    /** Adds a neighbour and sends it the first message. */
    private void addNeighbour(int peer) {
        long now = context.now();
        List<Account> shared = partners.contains(peer) ? firstPage() : accounts;
        Neighbour neighbour =
                new Neighbour(context.settings().me(), context.settings().routers(), peer, shared, now);
        neighbours.add(neighbour);
        neighbour.exchangeBegan(now);
        send(neighbour, 0, true);
    }

    /**
     * Returns whether this router does not know its demand yet. Until then the demand is only its floor, and no supply
     * must move because of it.
     */
    private boolean starting() {
        return intervalsWithRequests < 2 && context.now() - startedAt < START_UP_NANOS;
    }

    /**
     * Returns whether a neighbour is to be told that this router is starting. The ring successor is told so until it
     * has sent its reminder: it keeps what the previous run of this router reported for exactly as long.
     */
    private boolean starting(Neighbour neighbour) {
        return starting() || awaitsReminderOf(neighbour);
    }

    private boolean awaitsReminderOf(Neighbour neighbour) {
        return neighbour.peerIsSuccessor && earlierSupply.isWaiting();
    }

    private void send(Neighbour neighbour, int page, boolean answerWanted) {
        Map<Long, Double> popular = neighbour.isRingNeighbour
                ? keys.tell(
                        neighbour.peer, SupplyMessage.keyCapacity(page, pageSizes.get(page)), FORWARDED_READS_WEIGHT)
                : Map.of();
        SupplyMessage message =
                neighbour.ledger(page).message(answerWanted, starting(neighbour), runNumber, origin.rate, popular);
        context.emit(new TellPeer(neighbour.peer, message.encode()));
    }

    /**
     * Tells a router that has just started what supply its previous run had. The ring successor always does; other
     * neighbours only if the previous run owed supply.
     */
    private void sendReminder(Neighbour neighbour) {
        SupplyReminder reminder =
                partners.isEmpty() ? null : neighbour.ledger(0).reminder();
        if (reminder != null && (neighbour.buddy || reminder.owes())) {
            context.emit(new TellPeer(neighbour.peer, reminder.encode()));
        }
    }

    private void receiveReminder(Neighbour neighbour, SupplyReminder reminder) {
        if (reminder == null
                || reminder.receiverRun() != runNumber
                || !neighbour.ledger(0).known()) {
            return;
        }
        if (neighbour.peerIsSuccessor) {
            earlierSupply.remindedBySuccessor(reminder);
        } else {
            earlierSupply.remindedByOther(reminder);
        }
    }

    private boolean allLedgersKnown() {
        return neighbours.stream().allMatch(each -> each.ledger(0).known());
    }

    void received(PeerMessage event) {
        SupplyMessage message = SupplyMessage.decode(event.payload(), pageSizes);
        for (Neighbour neighbour : neighbours) {
            if (neighbour.peer != event.from()) {
                continue;
            }
            if (!partners.isEmpty() && SupplyReminder.isReminder(event.payload())) {
                receiveReminder(neighbour, SupplyReminder.decode(event.payload(), pageSizes.get(0)));
            } else if (message != null && (neighbour.isRingNeighbour || message.page() == 0)) {
                received(neighbour, message);
            } else {
                // A message of another version: its content is ignored, but its sender is evidently alive.
                neighbour.noteAlive(context.now());
            }
        }
    }

    private void received(Neighbour from, SupplyMessage message) {
        raiseRunNumberAbove(message.receiverRun());
        Ledger ledger = from.ledger(message.page());
        boolean wasKnown = ledger.known();
        earlierSupply.beforeMessage();
        boolean isNew = from.receive(message, runNumber, context.now());
        if (message.page() == 0 && !wasKnown && ledger.known()) {
            earlierSupply.ledgerKnown(allLedgersKnown());
        }
        if (isNew) {
            applyMessage(from, message, wasKnown);
        }
        if (message.answerWanted() && (isNew || message.senderRun() != ledger.peerRunNumber())) {
            send(from, message.page(), false);
        }
        if (message.page() == 0 && message.answerWanted() && message.starting()) {
            sendReminder(from);
        }
        if (from.isRingNeighbour && !wasKnown && ledger.known()) {
            requestUnknownPage(from);
        }
    }

    /**
     * Raises the number of this run above the one that a neighbour knows. Guards against a clock that was set back
     * between two runs: the neighbour would ignore the messages of a run that seems to be the earlier.
     */
    private void raiseRunNumberAbove(int knownRun) {
        if (knownRun != 0 && knownRun - runNumber > 0) {
            runNumber = knownRun + 1 == 0 ? 1 : knownRun + 1;
        }
    }

    /**
     * Asks for the next page whose ledger is unknown. In this way a router that has just started takes over all pages
     * without waiting for their turn: the answer for one page triggers the request for the next.
     */
    private void requestUnknownPage(Neighbour neighbour) {
        int page = neighbour.unknownPage();
        if (page > 0) {
            send(neighbour, page, true);
        }
    }

    /** Merges R and the popular keys of a new message, and moves supply by the figures in it. */
    private void applyMessage(Neighbour from, SupplyMessage message, boolean wasKnown) {
        // Each router sees only few fetches, so neighbours average their R; a router that has just started adopts R.
        double weight = from.isRingNeighbour ? RING_RATE_WEIGHT : links.rateWeight(partners.size());
        double part = message.page() > 0 || !message.known() ? 0 : !wasKnown && starting() ? 1 : weight;
        origin.rate = Math.pow(origin.rate, 1 - part) * Math.pow(message.rate(), part);
        if (from.isRingNeighbour) {
            keys.hear(from.peer, message.popular());
        }
        joined |= neighbours.stream().allMatch(Neighbour::answered);
        Ledger ledger = from.ledger(message.page());
        for (int a = 0; a < message.held().length && ledger.mayMove() && !starting(from); a++) {
            ledger.move(
                    a,
                    unitsToMove(
                            ledger.account(a),
                            message.rate(),
                            message.held()[a],
                            message.demand()[a],
                            transferFraction(from)));
        }
    }

    private double transferFraction(Neighbour neighbour) {
        return neighbour.isRingNeighbour ? RING_TRANSFER_FRACTION : SupplyLinks.transferFraction(partners.size());
    }

    /**
     * Returns how many units are to move to the neighbour, by the gap between the two fill ratios; below 0 if they
     * are to come from the neighbour.
     */
    private static int unitsToMove(Account own, double rate, int peerHeld, double peerDemand, double transferFraction) {
        double demand = own.fillDemand(rate);
        double gap = own.held() / demand - peerHeld / peerDemand;
        return (int) (transferFraction * gap * 2 * demand * peerDemand / (demand + peerDemand));
    }

    /** Adds the supply that has accrued since the last call. Called at each tick. */
    void accrue() {
        long now = context.now();
        joined |= now - startedAt >= Timing.INTERVAL;
        earlierSupply.tick(neighbours.stream().anyMatch(each -> each.peerIsSuccessor && each.answered()), now);
        for (Account account : accounts) {
            double burst =
                    Math.max(1, account.supply() * BURST_SECONDS) * (account == origin ? 1 : TENANT_BURST_FACTOR);
            if (joined && !onStandby) {
                account.accrue((double) (now - lastTick) / Timing.SECOND, burst);
            }
        }
        lastTick = now;
    }

    /** Returns whether the current measuring interval is over. */
    boolean intervalIsOver() {
        return context.now() >= nextInterval;
    }

    /** Ends a measuring interval: updates the demand of all accounts and R. */
    void endInterval() {
        nextInterval = context.now() + Timing.INTERVAL;
        if (traffic.arrivals.isKnown()) {
            intervalsWithRequests++;
        }
        accounts.forEach(Account::endInterval);
        originRate.endInterval(onStandby);
    }

    /**
     * Starts an exchange with each neighbour that is due, and takes over the supply of a predecessor that has
     * vanished.
     */
    void exchange() {
        if (onStandby) {
            return;
        }
        long now = context.now();
        double justifiedPause = REQUESTS_PER_EXCHANGE * Timing.SECOND / traffic.arrivals.perSecond();
        long usualPause = (long) Math.max(Timing.INTERVAL, Math.min(Timing.SECOND, justifiedPause));
        for (Neighbour neighbour : neighbours) {
            neighbour.tick(now);
            boolean isUrgent =
                    neighbour.wasSilentFor(SILENT_PAUSES_OF_DEAD / 2, now) || !joined && !neighbour.answered();
            long pause = neighbour.isRingNeighbour ? usualPause : links.pause(neighbour.answered());
            if (now - neighbour.lastExchangeAt() < (isUrgent ? Timing.INTERVAL / 5 : pause)) {
                continue;
            }
            beginExchange(neighbour, isUrgent, usualPause / justifiedPause);
        }
    }

    private void beginExchange(Neighbour neighbour, boolean isUrgent, double justifiedMessages) {
        // A router that waits for its reminder inherits nothing. Guards against a router that is cut off when it
        // starts and takes over supply whose amount it can only guess.
        if (!earlierSupply.isWaiting() && neighbour.vanished(SILENT_PAUSES_OF_DEAD, context.now())) {
            neighbour.inherit();
        }
        neighbour.exchangeBegan(context.now());
        boolean awaits = awaitsReminderOf(neighbour) || starting() && earlierSupply.isWaiting();
        if (neighbour.lower || isUrgent || !neighbour.ledger(0).known() || awaits) {
            send(neighbour, 0, true);
        }
        if (!isUrgent && neighbour.isRingNeighbour) {
            requestFurtherPages(neighbour, justifiedMessages);
        }
    }

    /**
     * Asks for pages after the first, in turn: at least one, and no more than the requests since the last exchange
     * justify.
     */
    private void requestFurtherPages(Neighbour neighbour, double justifiedMessages) {
        int furtherPages = pageSizes.size() - 1;
        int most = (furtherPages + EXCHANGES_PER_PAGE_CYCLE - 1) / EXCHANGES_PER_PAGE_CYCLE;
        for (int i = 0; i < Math.min(most, Math.max(1, justifiedMessages)); i++) {
            int page = neighbour.nextPage();
            if (neighbour.lower || !neighbour.ledger(page).known()) {
                send(neighbour, page, true);
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
        if (account == null || account.countAndTake() || account.held() <= evenShare / 16) {
            return ShareUse.WITHIN;
        }
        return context.now() - startedAt > START_UP_NANOS ? ShareUse.BEYOND : ShareUse.UNSETTLED;
    }
}
