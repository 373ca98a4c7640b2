package slateseam.decision;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * One end of the record of supply that this router and a neighbour have moved between them, for the accounts on one
 * page of their messages: one running total for each account, held by both ends. Each page has its own sequence
 * numbers, as pages are sent at different times. The {@link Neighbour} class describes the protocol.
 */
final class Ledger {
    private final int page;
    /** Whether this router has the lower number of the two. Only the lower end initiates transfers. */
    private final boolean lower;

    private final List<Account> accounts;
    /** Whether this end knows the totals; a router that has just started does not. */
    private boolean known;

    private boolean answered;
    private boolean mayMove;
    /** Whether the other end has reported its units at all. */
    private boolean told;
    /** Whether the last report came from an end that knew its totals and its demand, and not from one just started. */
    private boolean toldByBooks;

    /** Number of the other router's run that was heard last; 0 if none was. */
    private int life;
    /** Sequence number of the last message sent. */
    private int sent;
    /** Sequence number of the last message received. */
    private int heard;
    /** For each account, the total moved from the lower to the higher end, as this end reports it. */
    private final int[] flow;
    /** The same total as the other end was last seen to have it. */
    private final int[] settled;
    /** The total that came with {@link #theirUnits}. */
    private int[] theirFlow;
    /** The other router's own units for each account, as it reported them last. */
    private int[] theirUnits;
    /** The other router's units that this router uses while the other is away; null if none. */
    private int[] loan;

    Ledger(int page, boolean lower, List<Account> accounts) {
        this.page = page;
        this.lower = lower;
        this.accounts = accounts;
        flow = new int[accounts.size()];
        settled = flow.clone();
        theirFlow = flow.clone();
        theirUnits = accounts.stream().mapToInt(a -> a.units).toArray();
    }

    /** Returns the number of the other router's run that was heard last; 0 if none was. */
    int life() {
        return life;
    }

    /** Returns whether the other router has sent anything to the present run of this router. */
    boolean answered() {
        return answered;
    }

    /** Returns whether this end knows the totals. */
    boolean known() {
        return known;
    }

    /** Returns whether the last message confirmed the totals as this end had sent them, so that more may move. */
    boolean mayMove() {
        return mayMove;
    }

    /** Returns an account by its position on this page. */
    Account account(int place) {
        return accounts.get(place);
    }

    /** Builds the next message about this page and gives it the next sequence number. */
    SupplyMessage message(boolean ask, boolean starting, int me, double rate, Map<Long, Double> popular) {
        return new SupplyMessage(
                page,
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
                accounts.stream()
                        .mapToDouble(account -> account.fillDemand(account.rate))
                        .toArray(),
                popular);
    }

    /** Returns whether a message is from a later run of the other router than all messages before. */
    boolean isAnew(SupplyMessage m) {
        return life == 0 || m.from() - life > 0;
    }

    /**
     * Returns whether a message is neither a duplicate nor out of order nor from an earlier run of the other router.
     */
    boolean isNews(SupplyMessage m) {
        return isAnew(m) || m.from() == life && m.sequence() - heard > 0;
    }

    /**
     * Processes a message for which {@link #isNews} holds.
     *
     * @param me number of the present run of this router
     */
    void hear(SupplyMessage m, int me) {
        if (lower && isAnew(m) && !m.known()) {
            withdrawRequests();
        }
        life = m.from();
        heard = m.sequence();
        // A router that has just started does not know its supply yet; the report of its previous run still holds.
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
    }

    /** Brings the totals of both ends together, by a message to the present run of this router. */
    private void take(SupplyMessage m) {
        answered = true;
        boolean had = known;
        known = true;
        // If both ends have just started, the totals begin at 0.
        if (!had && m.known()) {
            adopt(m.flow());
        } else if (had && m.known() && !lower) {
            apply(m.flow());
        } else if (had && m.known() && m.heard() == sent) {
            settle(m.flow());
            mayMove = !m.starting();
        }
    }

    /** Takes over the totals of the other end, which this end has lost in its restart. */
    private void adopt(int[] theirs) {
        for (int a = 0; a < flow.length; a++) {
            accounts.get(a).units += lower ? -theirs[a] : theirs[a];
            flow[a] = theirs[a];
            settled[a] = theirs[a];
        }
    }

    /**
     * Lower end: takes back requests for supply that have not been granted. Guards against a higher end that has just
     * started and adopts the total with such a request in it: it would give away supply that its ring successor holds
     * for it, or that it never had.
     */
    private void withdrawRequests() {
        for (int a = 0; a < flow.length; a++) {
            flow[a] = debited(a);
        }
    }

    /** Higher end: credits supply that it was given, and grants requests as far as it has the supply. */
    private void apply(int[] theirs) {
        for (int a = 0; a < flow.length; a++) {
            Account own = accounts.get(a);
            int moved = Math.max(theirs[a] - flow[a], -Math.max(0, own.held()));
            own.units += moved;
            flow[a] += moved;
            theirUnits[a] += Math.max(0, -moved);
        }
    }

    /** Lower end: takes back what the other end has not credited, and credits what the other end granted. */
    private void settle(int[] theirs) {
        for (int a = 0; a < flow.length; a++) {
            accounts.get(a).units += debited(a) - theirs[a];
            flow[a] = theirs[a];
            settled[a] = theirs[a];
        }
    }

    /**
     * Lower end: moves units of an account to the other end, at most as many as it holds. A negative amount is a
     * request to the other end, which is credited only once granted.
     */
    void move(int a, int amount) {
        int most = Math.max(0, accounts.get(a).held());
        int moved = Math.min(amount, most);
        flow[a] += moved;
        accounts.get(a).units -= Math.max(0, moved);
    }

    /**
     * Returns the total without requests that have not been granted. Totals are compared by their difference: they
     * overflow where supply moves round the ring for a long time.
     */
    private int debited(int a) {
        return flow[a] - settled[a] > 0 ? flow[a] : settled[a];
    }

    /** Uses the other router's supply until {@link #giveBack} is called. */
    void inherit() {
        loan = new int[flow.length];
        for (int a = 0; a < loan.length; a++) {
            loan[a] = Math.max(0, theirs(a));
            accounts.get(a).inherited += loan[a];
        }
    }

    /** Returns the other router's own units as it reported them last, with what has moved to it since. */
    private int theirs(int a) {
        return theirUnits[a] + (lower ? debited(a) - theirFlow[a] : 0);
    }

    /** Returns what a restarted router is to learn about its previous run; null if this end does not know. */
    SupplyReminder reminder() {
        return toldByBooks && known
                ? new SupplyReminder(
                        life, IntStream.range(0, flow.length).map(this::theirs).toArray())
                : null;
    }

    /**
     * Stops using the other router's supply.
     *
     * @param lost whether the other router has lost its totals; then what this router passed on of that supply and no
     *     longer has is recorded as moved to this end, so that neither router owes it
     */
    void giveBack(boolean lost) {
        if (loan == null) {
            return;
        }
        for (int a = 0; a < loan.length; a++) {
            Account own = accounts.get(a);
            own.inherited -= loan[a];
            int gone = lost ? Math.min(loan[a], Math.max(0, -own.booked())) : 0;
            known |= gone > 0;
            own.units += gone;
            flow[a] += lower ? -gone : gone;
            settled[a] += lower ? -gone : gone;
            theirUnits[a] -= lower ? 0 : gone;
        }
        loan = null;
    }
}
