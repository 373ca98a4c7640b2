package slateseam.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import slateseam.decision.Api.Holding;
import slateseam.decision.Api.PeerMessage;
import slateseam.decision.Api.TellPeer;
import slateseam.decision.Api.TierSeen;

/** The origin's budget and the tenants' shares, moved between ring neighbours by the fill-ratio gap. */
final class SharedBudgets {
    /** Usual pauses of a dead neighbour, more than chance loses. */
    private static final int SILENCE = 4;
    /** The paper's 1/(2d) with d = 2; here scaled by demand. */
    private static final double ETA = 0.25;
    /** The first R, fetches a second for each router; then learned. */
    private static final double START_RATE = 40;

    private static final double BURST_SECONDS = 0.25;
    /** A tenant's burst, by the origin's. */
    private static final double TENANT_BURST = 6;
    /** Of a neighbour's counts of keys: some eight routers pool theirs. */
    private static final double PASSED_ON = 0.7;
    /** What a neighbour's R weighs. */
    private static final double RATE_WEIGHT = 0.25;
    /** Requests that bear the cost of one exchange. */
    private static final double REQUESTS_AN_EXCHANGE = 5;
    /** Exchanges in which all pages behind the first are told, if requests bear that many messages. */
    private static final int EXCHANGES_A_ROUND = 8;

    private static final long START = 2 * Timing.SECOND;
    private final DecisionContext context;
    private final TrafficStats traffic;
    private final KeyCounts keys;
    private final int evenShare;
    private final Account origin;
    private final OriginRate originRate;
    private final List<Account> accounts = new ArrayList<>();
    /** How many accounts each page of the messages holds. */
    private final List<Integer> pages;

    /** Those beside it on the ring, and the partners of its links, with whom it exchanges the first page alone. */
    private final List<Neighbour> neighbours = new ArrayList<>();

    private final SupplyLinks links;
    private final Set<Integer> partners;
    private final EarlierSupply earlier;
    /** Whether it uses its supply: not before its buddy has heard that it is there. */
    private boolean joined;

    private boolean resting;
    private int life;
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

    /** What this router holds of the origin's budget. */
    Holding holding() {
        return new Holding(origin, joined && !resting);
    }

    /** Guards against a supply that two processes of one router use at once: one of them rests. */
    void rest(boolean rests) {
        resting = rests;
        if (rests) {
            return;
        }
        neighbours.clear();
        busyIntervals = 0;
        start();
    }

    void seen(TierSeen event) {
        neighbours.forEach(neighbour -> neighbour.seen(event));
    }

    private void meet(int peer) {
        long now = context.now();
        List<Account> shared = partners.contains(peer) ? firstPage() : accounts;
        Neighbour neighbour =
                new Neighbour(context.settings().me(), context.settings().routers(), peer, shared, now);
        neighbours.add(neighbour);
        neighbour.asked(now);
        send(neighbour, 0, true);
    }

    /** Until it has seen what is asked for here, nothing moves by a demand that is only the floor. */
    private boolean starting() {
        return busyIntervals < 2 && context.now() - startedAt < START;
    }

    /** The same as one neighbour is to see it: its heir keeps what the earlier life told until it has told that. */
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

    /** Tells a router that has just started what its earlier life had, if this router is its heir; if not, that it owed. */
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
                neighbour.isThere(context.now()); // of another build: what it says is passed over
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

    /** Guards against a clock set back between two lives: this must be the later. */
    private void beginLaterLifeThan(int earlierLife) {
        if (earlierLife != 0 && earlierLife - life > 0) {
            life = earlierLife + 1 == 0 ? 1 : earlierLife + 1;
        }
    }

    /** One that has just started takes over all pages at once: it asks for each as the one before is answered. */
    private void askForUnknownPage(Neighbour of) {
        int page = of.unknownPage();
        if (page > 0) {
            send(of, page, true);
        }
    }

    private void take(Neighbour from, SupplyMessage message, boolean knew) {
        // Neighbours learn R together, each from few fetches; a new one takes it over.
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

    /** What is to move to the neighbour, by the fill-ratio gap. */
    private static int wanted(Account own, double rate, int theirs, double theirDemand, double movedPart) {
        double demand = own.fillDemand(rate);
        double gap = own.held() / demand - theirs / theirDemand;
        return (int) (movedPart * gap * 2 * demand * theirDemand / (demand + theirDemand));
    }

    /** Adds the supply since the last time. */
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

    /** Whether an interval is over. */
    boolean intervalIsOver() {
        return context.now() >= nextInterval;
    }

    void endInterval() {
        nextInterval = context.now() + Timing.INTERVAL;
        if (traffic.arrivals.isKnown()) {
            busyIntervals++;
        }
        accounts.forEach(Account::endInterval);
        originRate.endInterval(resting);
    }

    /** Asks those neighbours that are to be asked again, and inherits from one that has vanished. */
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
        // Guards against a router that nobody hears after its start, and that takes what it guesses others to have.
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

    /** Asks for pages behind the first, in turn; no more of them than the requests since the last exchange bear, but for one. */
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

    /** Counts a request of the origin, whether or not there is supply for it. */
    void countOriginDemand(boolean withinShare) {
        (withinShare ? origin.demand : origin.beyondShares).count();
    }

    /** Takes a request from its tenant's share. */
    ShareUse useShare(int tenant) {
        int index = tenant + 1;
        Account account = index < accounts.size() ? accounts.get(index) : null;
        // Guards against turning work away because the ring has not yet brought the share that it is due.
        if (account == null || account.ask() || account.held() <= evenShare / 16) {
            return ShareUse.WITHIN;
        }
        return context.now() - startedAt > START ? ShareUse.BEYOND : ShareUse.UNSETTLED;
    }
}
