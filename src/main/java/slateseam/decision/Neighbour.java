package slateseam.decision;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import slateseam.decision.Api.Sight;
import slateseam.decision.Api.TierSeen;
import slateseam.decision.Api.Trust;

/**
 * What this router and one ring neighbour have moved between them, and what it holds for the neighbour while that is
 * away. It keeps the books; {@link SharedBudgets} decides how much moves.
 *
 * <p>A router's own supply is an even share of the whole and what its two ledgers say. A ledger is one total for each
 * account, held by both ends, and so outlives the restart of either: the one that starts takes over what the other has,
 * in the first message that answers it. Messages carry totals and never amounts, so that a message that is lost,
 * doubled, late or overtaken changes nothing.
 *
 * <ul>
 * <li>On each ledger the giving end debits before the taking end credits. Own supplies therefore never add up to more
 * than the whole, and to less only by what is on its way: at most one movement a ledger.
 * <li>A router that starts uses nothing before its neighbours have answered, or until SharedBudgets no longer waits for them.
 * In the second case it may use, until they do answer, what its earlier life had given them on balance, and what its
 * buddy still holds for it.
 * <li>While a router is away its buddy holds its supply as last told. That can differ from the ledgers by what the
 * vanished one moved with its other neighbour after it last told its buddy: at most one movement. A router that is
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
    /** Whether this end holds the ledger; one that has just started does not. */
    private boolean known;

    private boolean answered;
    private boolean mayMove;
    private boolean told;
    /** Whether what it told last is what its books said, and not what a life that has just started makes of them. */
    private boolean toldByBooks;

    private int life;
    private int sent;
    private int heard;
    private long heardAt;
    private long askedAt;
    private long lookedAt;
    private Sight sight = Sight.UNKNOWN;
    private Trust trust = Trust.FULL;
    /** The usual time between its messages. */
    private long pause = SECOND / 2;
    /** All that went from the lower to the higher: as this end tells it; as the other end was last seen to have it. */
    private final int[] flow;

    private final int[] settled;
    private int[] theirFlow;
    private int[] theirUnits;
    private int[] loan;

    Neighbour(int me, int routers, int peer, List<Account> accounts, long now) {
        this.peer = peer;
        this.accounts = accounts;
        lower = me < peer;
        buddy = (peer + 1) % routers == me;
        heir = (me + 1) % routers == peer;
        ring = buddy || heir;
        heardAt = now;
        lookedAt = now;
        flow = new int[accounts.size()];
        settled = flow.clone();
        theirFlow = flow.clone();
        theirUnits = accounts.stream().mapToInt(a -> a.units).toArray();
    }

    /** The life of the other router that was heard last; 0 if none was. */
    int life() {
        return life;
    }

    /** Whether it has told something to this life of this router. */
    boolean answered() {
        return answered;
    }

    /** Whether this end holds the ledger. */
    boolean known() {
        return known;
    }

    /** Whether the message that was heard last shows the ledger as this end told it, so that more may move. */
    boolean mayMove() {
        return mayMove;
    }

    /** What the next message is to say of the ledger and of messages. */
    SupplyMessage message(boolean ask, boolean starting, int me, double rate, Map<Long, Double> popular) {
        return new SupplyMessage(
                ask,
                known,
                starting,
                me,
                life,
                ++sent,
                heard,
                rate,
                flow.clone(),
                accounts.stream().mapToInt(Account::own).toArray(),
                accounts.stream().mapToInt(Account::held).toArray(),
                accounts.stream().mapToDouble(a -> a.demand.perSecond()).toArray(),
                popular);
    }

    /** Takes a message to this life; false, and nothing is changed, if it is doubled, overtaken or of an earlier life. */
    boolean hear(SupplyMessage m, int me, long now) {
        boolean anew = life == 0 || m.from() - life > 0;
        if (!anew && (m.from() != life || m.sequence() - heard <= 0)) {
            return false;
        }
        giveBack(anew && !m.known());
        if (!anew) {
            pause += (Math.min(now - heardAt, 2 * SECOND) - pause) / 2;
        }
        life = m.from();
        heard = m.sequence();
        heardAt = now;
        // One that has just started does not know its supply yet; what its earlier life told still holds.
        if (!told || m.known() && !m.starting()) {
            theirUnits = m.units().clone();
            theirFlow = m.flow();
            told = true;
            toldByBooks = m.known() && !m.starting();
        }
        mayMove = false;
        if (m.to() == me) {
            take(m);
        }
        return true;
    }

    /** It is there, if in a way that cannot be understood: what it holds is not to be used twice. */
    void isThere(long now) {
        giveBack(false);
        heardAt = now;
    }

    private void take(SupplyMessage m) {
        answered = true;
        boolean had = known;
        known = true;
        // Where both have just started the ledger begins at nothing.
        if (!had && m.known()) {
            adopt(m.flow());
        } else if (had && m.known() && !lower) {
            apply(m.flow());
        } else if (had && m.known() && m.heard() == sent) {
            settle(m.flow());
            mayMove = !m.starting();
        }
    }

    private void adopt(int[] theirs) {
        for (int a = 0; a < flow.length; a++) {
            accounts.get(a).units += lower ? -theirs[a] : theirs[a];
            flow[a] = theirs[a];
            settled[a] = theirs[a];
        }
    }

    /** The higher end: takes what has come, and gives what is asked back as far as it has it. */
    private void apply(int[] theirs) {
        for (int a = 0; a < flow.length; a++) {
            Account own = accounts.get(a);
            int moved = Math.max(theirs[a] - flow[a], -Math.max(0, own.held()));
            own.units += moved;
            flow[a] += moved;
            theirUnits[a] += Math.max(0, -moved);
        }
    }

    /** The lower end: takes back what the other end has not taken, and what it gave. */
    private void settle(int[] theirs) {
        for (int a = 0; a < flow.length; a++) {
            accounts.get(a).units += debited(a) - theirs[a];
            flow[a] = theirs[a];
            settled[a] = theirs[a];
        }
    }

    /** Moves so much of an account to the other end; below 0 it is asked for. Only the lower end does. */
    void move(int a, int amount) {
        int most = Math.max(0, accounts.get(a).held());
        int moved = Math.min(amount, most);
        flow[a] += moved;
        accounts.get(a).units -= Math.max(0, moved);
    }

    /** By the difference: totals go on past the end of their numbers, where supply goes round the ring for long. */
    private int debited(int a) {
        return flow[a] - settled[a] > 0 ? flow[a] : settled[a];
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
        return buddy && loan == null && now - heardAt > pauses * Math.max(LEAST_PAUSE, pause);
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
            giveBack(false);
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
        loan = new int[flow.length];
        for (int a = 0; a < loan.length; a++) {
            loan[a] = Math.max(0, theirs(a));
            accounts.get(a).inherited += loan[a];
        }
    }

    /** The other's own supply as it told last, with what has moved to it since. */
    private int theirs(int a) {
        return theirUnits[a] + (lower ? debited(a) - theirFlow[a] : 0);
    }

    /**
     * What a life of the other that has just started is to know of the one before; null if this
     * router does not know it. Only the heir does: what it has passed on meanwhile is in no other's figure.
     */
    SupplyReminder reminder() {
        return buddy && toldByBooks && known
                ? new SupplyReminder(
                        life, IntStream.range(0, flow.length).map(this::theirs).toArray())
                : null;
    }

    private void giveBack(boolean anew) {
        if (loan == null) {
            return;
        }
        for (int a = 0; a < loan.length; a++) {
            Account own = accounts.get(a);
            own.inherited -= loan[a];
            int gone = anew ? Math.min(loan[a], Math.max(0, -own.booked())) : 0;
            known |= gone > 0;
            own.units += gone;
            flow[a] += lower ? -gone : gone;
            settled[a] += lower ? -gone : gone;
            theirUnits[a] -= lower ? 0 : gone;
        }
        loan = null;
    }
}
