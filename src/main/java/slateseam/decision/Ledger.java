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
    private boolean hasReport;
    /** Whether the last report came from an end that knew its totals and its demand, and not from one just started. */
    private boolean reportIsReliable;

    /** Number of the other router's run that was heard last; 0 if none was. */
    private int peerRunNumber;
    /** Sequence number of the last message sent. */
    private int lastSent;
    /** Sequence number of the last message received. */
    private int lastReceived;
    /** For each account, the total moved from the lower to the higher end, as this end reports it. */
    private final int[] flow;
    /** The same total as the other end was last seen to have it. */
    private final int[] confirmedFlow;
    /** The total that came with {@link #reportedUnits}. */
    private int[] reportedFlow;
    /** The other router's own units for each account, as it reported them last. */
    private int[] reportedUnits;
    /** The other router's units that this router uses while the other is away; null if none. */
    private int[] inheritedUnits;

    Ledger(int page, boolean lower, List<Account> accounts) {
        this.page = page;
        this.lower = lower;
        this.accounts = accounts;
        flow = new int[accounts.size()];
        confirmedFlow = flow.clone();
        reportedFlow = flow.clone();
        reportedUnits = accounts.stream().mapToInt(a -> a.units).toArray();
    }

    /** Returns the number of the other router's run that was heard last; 0 if none was. */
    int peerRunNumber() {
        return peerRunNumber;
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
    Account account(int position) {
        return accounts.get(position);
    }

    /** Builds the next message about this page and gives it the next sequence number. */
    SupplyMessage message(
            boolean answerWanted, boolean starting, int runNumber, double rate, Map<Long, Double> popular) {
        return new SupplyMessage(
                page,
                answerWanted,
                known,
                starting,
                runNumber,
                peerRunNumber,
                ++lastSent,
                lastReceived,
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
    boolean isFromNewRun(SupplyMessage m) {
        return peerRunNumber == 0 || m.senderRun() - peerRunNumber > 0;
    }

    /**
     * Returns whether a message is neither a duplicate nor out of order nor from an earlier run of the other router.
     */
    boolean isNew(SupplyMessage m) {
        return isFromNewRun(m) || m.senderRun() == peerRunNumber && m.sequence() - lastReceived > 0;
    }

    /**
     * Processes a message for which {@link #isNew} holds.
     *
     * @param runNumber number of the present run of this router
     */
    void receive(SupplyMessage m, int runNumber) {
        if (lower && isFromNewRun(m) && !m.known()) {
            withdrawRequests();
        }
        peerRunNumber = m.senderRun();
        lastReceived = m.sequence();
        // A router that has just started does not know its supply yet; the report of its previous run still holds.
        if (!hasReport || m.known() && !m.starting()) {
            reportedUnits = m.units().clone();
            reportedFlow = m.flow();
            hasReport = true;
            reportIsReliable = m.known() && !m.starting();
        }
        mayMove = false;
        if (m.receiverRun() == runNumber) {
            reconcile(m);
        }
    }

    /** Brings the totals of both ends together, by a message to the present run of this router. */
    private void reconcile(SupplyMessage m) {
        answered = true;
        boolean wasKnown = known;
        known = true;
        // If both ends have just started, the totals begin at 0.
        if (!wasKnown && m.known()) {
            adopt(m.flow());
        } else if (wasKnown && m.known() && !lower) {
            apply(m.flow());
        } else if (wasKnown && m.known() && m.acknowledged() == lastSent) {
            confirm(m.flow());
            mayMove = !m.starting();
        }
    }

    /** Takes over the totals of the other end, which this end has lost in its restart. */
    private void adopt(int[] peerFlow) {
        for (int a = 0; a < flow.length; a++) {
            accounts.get(a).units += lower ? -peerFlow[a] : peerFlow[a];
            flow[a] = peerFlow[a];
            confirmedFlow[a] = peerFlow[a];
        }
    }

    /**
     * Lower end: takes back requests for supply that have not been granted. Guards against a higher end that has just
     * started and adopts the total with such a request in it: it would give away supply that its ring successor holds
     * for it, or that it never had.
     */
    private void withdrawRequests() {
        for (int a = 0; a < flow.length; a++) {
            flow[a] = flowWithoutRequests(a);
        }
    }

    /** Higher end: credits supply that it was given, and grants requests as far as it has the supply. */
    private void apply(int[] peerFlow) {
        for (int a = 0; a < flow.length; a++) {
            Account own = accounts.get(a);
            int moved = Math.max(peerFlow[a] - flow[a], -Math.max(0, own.held()));
            own.units += moved;
            flow[a] += moved;
            reportedUnits[a] += Math.max(0, -moved);
        }
    }

    /** Lower end: takes back what the other end has not credited, and credits what the other end granted. */
    private void confirm(int[] peerFlow) {
        for (int a = 0; a < flow.length; a++) {
            accounts.get(a).units += flowWithoutRequests(a) - peerFlow[a];
            flow[a] = peerFlow[a];
            confirmedFlow[a] = peerFlow[a];
        }
    }

    /**
     * Lower end: moves units of an account to the other end, at most as many as it holds. A negative amount is a
     * request to the other end, which is credited only once granted.
     */
    void move(int a, int amount) {
        int available = Math.max(0, accounts.get(a).held());
        int moved = Math.min(amount, available);
        flow[a] += moved;
        accounts.get(a).units -= Math.max(0, moved);
    }

    /**
     * Returns the total without requests that have not been granted. Totals are compared by their difference: they
     * overflow where supply moves round the ring for a long time.
     */
    private int flowWithoutRequests(int a) {
        return flow[a] - confirmedFlow[a] > 0 ? flow[a] : confirmedFlow[a];
    }

    /** Uses the other router's supply until {@link #endInheritance} is called. */
    void inherit() {
        inheritedUnits = new int[flow.length];
        for (int a = 0; a < inheritedUnits.length; a++) {
            inheritedUnits[a] = Math.max(0, currentPeerUnits(a));
            accounts.get(a).inherited += inheritedUnits[a];
        }
    }

    /** Returns the other router's own units as it reported them last, with what has moved to it since. */
    private int currentPeerUnits(int a) {
        return reportedUnits[a] + (lower ? flowWithoutRequests(a) - reportedFlow[a] : 0);
    }

    /** Returns what a restarted router is to learn about its previous run; null if this end does not know. */
    SupplyReminder reminder() {
        return reportIsReliable && known
                ? new SupplyReminder(
                        peerRunNumber,
                        IntStream.range(0, flow.length)
                                .map(this::currentPeerUnits)
                                .toArray())
                : null;
    }

    /**
     * Stops using the other router's supply.
     *
     * @param lost whether the other router has lost its totals; then what this router passed on of that supply and no
     *     longer has is recorded as moved to this end, so that neither router owes it
     */
    void endInheritance(boolean lost) {
        if (inheritedUnits == null) {
            return;
        }
        for (int a = 0; a < inheritedUnits.length; a++) {
            Account own = accounts.get(a);
            own.inherited -= inheritedUnits[a];
            int spent = lost ? Math.min(inheritedUnits[a], Math.max(0, -own.ownAndInherited())) : 0;
            known |= spent > 0;
            own.units += spent;
            flow[a] += lower ? -spent : spent;
            confirmedFlow[a] += lower ? -spent : spent;
            reportedUnits[a] -= lower ? 0 : spent;
        }
        inheritedUnits = null;
    }
}
