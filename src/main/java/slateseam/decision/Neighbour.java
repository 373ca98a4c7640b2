package slateseam.decision;

import java.util.ArrayList;
import java.util.List;
import slateseam.decision.Api.Sight;
import slateseam.decision.Api.TierSeen;
import slateseam.decision.Api.Trust;

/**
 * This router's view of one router with which it exchanges supply: the {@link Ledger}s of what the two have moved
 * between them, whether the other router is alive, and the supply that this router uses on its behalf while it is
 * away. {@link SharedBudgets} decides how much moves.
 *
 * <p>A router's own supply is an even share of the whole budget plus the balance of its ledgers. A ledger is one
 * running total for each account, held by both ends, and therefore survives a restart of either: a router that starts
 * takes over the totals of the other end from the first message that answers it. If the accounts take several pages
 * of messages, there is a ledger for each page; a message about any page shows that the other router is alive.
 * Messages carry totals and never amounts, so that a message that is lost, duplicated, late or out of order changes
 * nothing.
 *
 * <ul>
 * <li>On each ledger the giving end debits before the receiving end credits. The own supplies of all routers
 * therefore never add up to more than the whole budget, and to less only by what is in transit: at most one transfer
 * for each ledger.
 * <li>A router that starts uses no supply before its neighbours have answered or {@link SharedBudgets} no longer
 * waits for them. In the second case it may use, until they answer, supply that its previous run had given them on
 * balance, and supply that its ring successor still uses on its behalf.
 * <li>While a router is away, its ring successor uses its supply as last reported. That can differ from the ledgers
 * by what the vanished router moved with its other neighbours after its last report: at most one transfer for each
 * ledger, or for a page after the first all transfers since that page was last sent. The supply of a router that is
 * alive but not heard is counted twice for as long as that lasts.
 * <li>When the router is heard again, its ring successor stops using its supply before it answers. Supply that the
 * successor has passed on meanwhile and no longer has is recorded as moved to the successor: the returning router
 * gets what is left, neither router owes anything, and the ring moves the rest to where the demand is.
 * </ul>
 */
final class Neighbour {
    private static final long SECOND = 1_000_000_000L;
    /** The shortest interval between messages that is expected of a neighbour, in nanoseconds. */
    private static final long MIN_PAUSE_NANOS = SECOND / 4;
    /** If more time than this passes between two ticks, in nanoseconds, this router itself was suspended. */
    private static final long SUSPENSION_NANOS = SECOND / 4;
    /** The number of the other router. */
    final int peer;
    /** Whether this router has the lower number of the two. Only the lower end initiates transfers. */
    final boolean lower;
    /** Whether this router is the other's ring successor, which uses the other's supply while the other is away. */
    final boolean buddy;
    /** Whether the other router is a ring neighbour; if not, it is the partner of a supply link. */
    final boolean isRingNeighbour;
    /** Whether the other router is this router's ring successor. */
    final boolean peerIsSuccessor;

    private final List<Account> accounts;
    /** The ledgers, one for each page of the messages. */
    private final List<Ledger> ledgers = new ArrayList<>();
    /** The page after the first that was requested last. */
    private int lastFurtherPage;
    /** Whether this router now uses the other's supply. */
    private boolean inherits;

    private long heardAt;
    private long lastExchangeAt;
    private long lastTickAt;
    private Sight sight = Sight.UNKNOWN;
    private Trust trust = Trust.FULL;
    /** The usual interval between the other router's messages, in nanoseconds. */
    private long pause = SECOND / 2;

    Neighbour(int me, int routers, int peer, List<Account> accounts, long now) {
        this.peer = peer;
        this.accounts = accounts;
        lower = me < peer;
        buddy = (peer + 1) % routers == me;
        peerIsSuccessor = (me + 1) % routers == peer;
        isRingNeighbour = buddy || peerIsSuccessor;
        heardAt = now;
        lastTickAt = now;
        int first = 0;
        for (int size : SupplyMessage.pageSizes(accounts.size())) {
            ledgers.add(new Ledger(ledgers.size(), lower, accounts.subList(first, first + size)));
            first += size;
        }
    }

    /** Returns the ledger of the accounts on a page of the messages. */
    Ledger ledger(int page) {
        return ledgers.get(page);
    }

    /** Returns whether the other router has sent anything to the present run of this router. */
    boolean answered() {
        return ledgers.get(0).answered();
    }

    /** Returns the next page after the first, in turn. */
    int nextPage() {
        lastFurtherPage = lastFurtherPage + 1 < ledgers.size() ? lastFurtherPage + 1 : 1;
        return lastFurtherPage;
    }

    /** Returns the first page after page 0 whose ledger this end does not know; 0 if there is none. */
    int unknownPage() {
        for (int page = 1; page < ledgers.size(); page++) {
            if (!ledgers.get(page).known()) {
                return page;
            }
        }
        return 0;
    }

    /**
     * Processes a message of the other router.
     *
     * @param runNumber number of the present run of this router
     * @return false if the message is a duplicate, out of order or from a previous run; then nothing is changed
     */
    boolean receive(SupplyMessage m, int runNumber, long now) {
        Ledger ledger = ledgers.get(m.page());
        if (!ledger.isNew(m)) {
            return false;
        }
        for (Ledger each : ledgers) {
            each.endInheritance(each.isFromNewRun(m) && !m.known());
        }
        inherits = false;
        if (m.page() == 0 && !ledger.isFromNewRun(m)) {
            pause += (Math.min(now - heardAt, 2 * SECOND) - pause) / 2;
        }
        heardAt = now;
        ledger.receive(m, runNumber);
        return true;
    }

    /** Notes that the other router is alive though its message cannot be read, so that its supply is not used twice. */
    void noteAlive(long now) {
        endInheritance();
        heardAt = now;
    }

    /** Returns when the last exchange with this neighbour was begun. */
    long lastExchangeAt() {
        return lastExchangeAt;
    }

    /** Notes that an exchange with this neighbour begins. */
    void exchangeBegan(long now) {
        lastExchangeAt = now;
    }

    /**
     * Is called at each tick. If this router was suspended, the time of its suspension does not count as silence of the
     * other. Guards against a router that resumes, finds that it has heard nobody, and takes over the supply of routers
     * that were alive all the time.
     */
    void tick(long now) {
        if (now - lastTickAt > SUSPENSION_NANOS) {
            heardAt = Math.min(now, heardAt + now - lastTickAt);
        }
        lastTickAt = now;
    }

    /**
     * Returns whether this router is the other's ring successor, does not use its supply, and has not heard it for the
     * given number of its usual message intervals. Counting several intervals guards against lost messages that keep a
     * returning router from its supply, or make a router that is alive look dead.
     */
    boolean wasSilentFor(int pauses, long now) {
        return buddy && !inherits && now - heardAt > pauses * Math.max(MIN_PAUSE_NANOS, pause);
    }

    /**
     * Takes over what the tier's membership says about a router, and how far this router trusts its view. A router that
     * any other router hears uses its supply itself. A router that does not fully trust its view uses no supply of
     * others, and with no trust at all not even its own, as others may be using that.
     */
    void tierChanged(TierSeen e) {
        trust = e.trust();
        accounts.forEach(a -> a.suspended = trust == Trust.NONE);
        sight = e.peer() == peer ? e.sight() : sight;
        if (sight == Sight.THERE || trust != Trust.FULL) {
            endInheritance();
        }
    }

    /**
     * Returns whether this router is to use the other's supply, as its ring successor: the other has not been heard for
     * the given number of its usual message intervals, and no other router hears it. If the whole tier has lost it, one
     * missed interval is enough.
     */
    boolean vanished(int pauses, long now) {
        return trust == Trust.FULL && sight != Sight.THERE && wasSilentFor(sight == Sight.GONE ? 1 : pauses, now);
    }

    /** Begins to use the other router's supply, until it is heard again. */
    void inherit() {
        inherits = true;
        ledgers.forEach(Ledger::inherit);
    }

    /** Stops using the other router's supply. */
    private void endInheritance() {
        inherits = false;
        ledgers.forEach(ledger -> ledger.endInheritance(false));
    }
}
