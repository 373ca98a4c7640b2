package slateseam.decision;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * What this router and one ring neighbour have moved between them of the accounts on one page of their messages: one total for each
 * account, held by both ends. Each page numbers its messages for itself, as pages are told at different times.
 */
final class Ledger {
    private final int page;
    /** Whether this router has the lower number: it alone decides what moves. */
    private final boolean lower;

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
    /** All that went from the lower to the higher: as this end tells it; as the other end was last seen to have it. */
    private final int[] flow;

    private final int[] settled;
    private int[] theirFlow;
    private int[] theirUnits;
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

    /** The life of the other router that was heard last; 0 if none was. */
    int life() {
        return life;
    }

    /** Whether the other router has told something to this life of this router. */
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

    /** One of the accounts on this page, by its place there. */
    Account account(int place) {
        return accounts.get(place);
    }

    /** What the next message is to say of the ledger and of messages. */
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

    /** Whether a message is of a later life than all before it. */
    boolean isAnew(SupplyMessage m) {
        return life == 0 || m.from() - life > 0;
    }

    /** Whether a message is neither doubled nor overtaken nor of an earlier life. */
    boolean isNews(SupplyMessage m) {
        return isAnew(m) || m.from() == life && m.sequence() - heard > 0;
    }

    /** Takes a message that is news. */
    void hear(SupplyMessage m, int me) {
        if (lower && isAnew(m) && !m.known()) {
            withdrawRequests();
        }
        life = m.from();
        heard = m.sequence();
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

    /**
     * The lower end takes back what it has asked for and not been granted. Guards against a higher end that has just
     * started and takes the total over as it is told: it would give what its heir counts as its own, or what it never had.
     */
    private void withdrawRequests() {
        for (int a = 0; a < flow.length; a++) {
            flow[a] = debited(a);
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

    /** Uses the other router's supply until it is given back. */
    void inherit() {
        loan = new int[flow.length];
        for (int a = 0; a < loan.length; a++) {
            loan[a] = Math.max(0, theirs(a));
            accounts.get(a).inherited += loan[a];
        }
    }

    /** The other router's own supply as it told last, with what has moved to it since. */
    private int theirs(int a) {
        return theirUnits[a] + (lower ? debited(a) - theirFlow[a] : 0);
    }

    /** What a life of the other router that has just started is to know of the one before; null if this one does not know it. */
    SupplyReminder reminder() {
        return toldByBooks && known
                ? new SupplyReminder(
                        life, IntStream.range(0, flow.length).map(this::theirs).toArray())
                : null;
    }

    /**
     * Stops using the other router's supply.
     *
     * @param lost whether the other router no longer has the ledger: then what of the loan is spent is booked as moved to this end
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
