package slateseam.decision;

import java.util.ArrayList;
import java.util.List;
import slateseam.decision.Api.Sight;
import slateseam.decision.Api.TierSeen;
import slateseam.decision.Api.Trust;

/**
 * What this router and one ring neighbour have moved between them, and what it holds for the neighbour while that is
 * away. It keeps the books; {@link SharedBudgets} decides how much moves.
 *
 * <p>A router's own supply is an even share of the whole and what its two ledgers say. A ledger is one total for each
 * account, held by both ends, and so outlives the restart of either: the one that starts takes over what the other has,
 * in the first message that answers it. Where the accounts take several pages of messages, there is a {@link Ledger} for each page;
 * whether the other router is there is told by all of them. Messages carry totals and never amounts, so that a message that is lost,
 * doubled, late or overtaken changes nothing.
 *
 * <ul>
 * <li>On each ledger the giving end debits before the taking end credits. Own supplies therefore never add up to more
 * than the whole, and to less only by what is on its way: at most one movement a ledger.
 * <li>A router that starts uses nothing before its neighbours have answered, or until SharedBudgets no longer waits for them.
 * In the second case it may use, until they do answer, what its earlier life had given them on balance, and what its
 * buddy still holds for it.
 * <li>While a router is away its buddy holds its supply as last told. That can differ from the ledgers by what the
 * vanished one moved with its other neighbour after it last told its buddy: at most one movement, or as many as there were since a
 * page behind the first was last told. A router that is
 * there but not heard is counted twice for as long as that lasts.
 * <li>When it is heard again, its buddy stops using its supply before it answers. What the buddy has passed on
 * meanwhile and no longer has, it books as moved to itself: the one that returns gets what is left, nobody owes, and
 * the ring moves the rest to where the demand is.
 * </ul>
 */
final class Neighbour {
    private static final long SECOND = 1_000_000_000L;
    /** Routers ask no more often as a rule. */
    private static final long LEAST_PAUSE = SECOND / 4;
    /** Between two looks at it; after a longer time it was this router that stood still. */
    private static final long STOOD_STILL = SECOND / 4;
    /** The number of the other router. */
    final int peer;
    /** Whether this router has the lower number: it alone decides what moves. */
    final boolean lower;
    /** Whether this router inherits the other's supply: it is its ring successor. */
    final boolean buddy;
    /** Whether the other is beside this router on the ring; else it is the partner of a link. */
    final boolean ring;
    /** Whether the other inherits this router's supply. */
    final boolean heir;

    private final List<Account> accounts;
    /** One for each page of the messages. */
    private final List<Ledger> ledgers = new ArrayList<>();
    /** The page behind the first that was asked for last. */
    private int turn;
    /** Whether it holds the other's supply. */
    private boolean inherits;

    private long heardAt;
    private long askedAt;
    private long lookedAt;
    private Sight sight = Sight.UNKNOWN;
    private Trust trust = Trust.FULL;
    /** The usual time between its messages. */
    private long pause = SECOND / 2;

    Neighbour(int me, int routers, int peer, List<Account> accounts, long now) {
        this.peer = peer;
        this.accounts = accounts;
        lower = me < peer;
        buddy = (peer + 1) % routers == me;
        heir = (me + 1) % routers == peer;
        ring = buddy || heir;
        heardAt = now;
        lookedAt = now;
        int first = 0;
        for (int size : SupplyMessage.pages(accounts.size())) {
            ledgers.add(new Ledger(ledgers.size(), lower, accounts.subList(first, first + size)));
            first += size;
        }
    }

    /** The ledger of the accounts on a page of the messages. */
    Ledger ledger(int page) {
        return ledgers.get(page);
    }

    /** Whether it has told something to this life of this router. */
    boolean answered() {
        return ledgers.get(0).answered();
    }

    /** The next page behind the first, in turn. */
    int nextPage() {
        turn = turn + 1 < ledgers.size() ? turn + 1 : 1;
        return turn;
    }

    /** The first page whose ledger this end does not hold; 0 if there is none behind the first. */
    int unknownPage() {
        for (int page = 1; page < ledgers.size(); page++) {
            if (!ledgers.get(page).known()) {
                return page;
            }
        }
        return 0;
    }

    /** Takes a message to this life; false, and nothing is changed, if it is doubled, overtaken or of an earlier life. */
    boolean hear(SupplyMessage m, int me, long now) {
        Ledger ledger = ledgers.get(m.page());
        if (!ledger.isNews(m)) {
            return false;
        }
        for (Ledger each : ledgers) {
            each.giveBack(each.isAnew(m) && !m.known());
        }
        inherits = false;
        if (m.page() == 0 && !ledger.isAnew(m)) {
            pause += (Math.min(now - heardAt, 2 * SECOND) - pause) / 2;
        }
        heardAt = now;
        ledger.hear(m, me);
        return true;
    }

    /** It is there, if in a way that cannot be understood: what it holds is not to be used twice. */
    void isThere(long now) {
        giveBack();
        heardAt = now;
    }

    /** When it was last looked at whether to ask it. */
    long askedAt() {
        return askedAt;
    }

    void asked(long now) {
        askedAt = now;
    }

    /**
     * Is told at each tick that time goes on. Guards against a router that wakes, finds that it has heard nobody, and takes
     * the supply of those who were there all the while: what fell into its own pause was no silence of the other.
     */
    void look(long now) {
        if (now - lookedAt > STOOD_STILL) {
            heardAt = Math.min(now, heardAt + now - lookedAt);
        }
        lookedAt = now;
    }

    /**
     * Whether its buddy, as long as it does not hold its supply, has not heard it for so many of its usual pauses. Guards against lost
     * messages that keep one that returns from its supply, or make one that is there look as if it were not.
     */
    boolean missed(int pauses, long now) {
        return buddy && !inherits && now - heardAt > pauses * Math.max(LEAST_PAUSE, pause);
    }

    /**
     * What the tier knows of it, and how far this router trusts that. One that somebody hears uses its supply itself; one that does
     * not trust what it hears uses nobody else's, and not its own either while others may use that.
     */
    void seen(TierSeen e) {
        trust = e.trust();
        accounts.forEach(a -> a.rests = trust == Trust.NONE);
        sight = e.peer() == peer ? e.sight() : sight;
        if (sight == Sight.THERE || trust != Trust.FULL) {
            giveBack();
        }
    }

    /**
     * Whether its buddy is to use its supply: it has not been heard for so many of its usual pauses, and nobody else hears it. One that
     * the whole tier has lost is inherited from at once.
     */
    boolean vanished(int pauses, long now) {
        return trust == Trust.FULL && sight != Sight.THERE && missed(sight == Sight.GONE ? 1 : pauses, now);
    }

    /** Uses the supply of one that has vanished until it is heard again. */
    void inherit() {
        inherits = true;
        ledgers.forEach(Ledger::inherit);
    }

    private void giveBack() {
        inherits = false;
        ledgers.forEach(ledger -> ledger.giveBack(false));
    }
}
