package slateseam.decision;

import java.util.List;

/**
 * Estimates the supply of a router that has just started and has not heard from all its partners yet. The partners
 * hold the totals from which its supply follows, and some of them may be away or cut off for a long time. Guards
 * against a router that restarts within a network partition and uses supply that its previous run has given away.
 *
 * <p>At first the router uses only supply that is moved to it in this run. This ends once all partners have been
 * heard, or once its ring successor has reported the supply of the previous run: that supply, less the ledgers known
 * again, is the balance of the ledgers that are still unknown. If neither happens, because the successor has
 * restarted too, runs another build or is gone, the router assumes after a time-out that there are no ledgers but the
 * known ones.
 */
final class EarlierSupply {
    /** Time-out in nanoseconds if the ring successor has answered but sent no reminder: it has none. */
    private static final long NO_REMINDER_TIMEOUT_NANOS = 10 * Timing.SECOND;
    /** Time-out in nanoseconds if the ring successor has not answered: it may be away for good. */
    private static final long SILENT_SUCCESSOR_TIMEOUT_NANOS = 60 * Timing.SECOND;

    private enum State {
        /** The router uses only supply that is moved to it in this run. */
        WAITING,
        /** The supply of the previous run is known, but not all ledgers are. */
        REMINDED,
        /** All ledgers are known, or taken for known. */
        SETTLED
    }

    private final List<Account> accounts;
    /**
     * Supply at the start of this run as far as it is known: the even share and the balances of ledgers known again.
     */
    private final int[] knownUnits;

    /** The units of each account before the message that is being processed. */
    private final int[] unitsBefore;

    private State state = State.SETTLED;
    private long startedAt;

    EarlierSupply(List<Account> accounts) {
        this.accounts = accounts;
        this.knownUnits = new int[accounts.size()];
        this.unitsBefore = new int[accounts.size()];
    }

    /**
     * Begins a run.
     *
     * @param hasPartners whether there are partners beside the ring neighbours; if not, nothing is estimated
     */
    void start(boolean hasPartners, long now) {
        state = hasPartners ? State.WAITING : State.SETTLED;
        startedAt = now;
        for (int a = 0; a < knownUnits.length; a++) {
            knownUnits[a] = accounts.get(a).units;
            accounts.get(a).assumedBalance = hasPartners ? -knownUnits[a] : 0;
        }
    }

    /** Returns whether the reminder of the ring successor is still awaited. */
    boolean isWaiting() {
        return state == State.WAITING;
    }

    /** Takes over the reminder of the ring successor, whose ledger must be known again. */
    void remindedBySuccessor(SupplyReminder reminder) {
        if (state == State.WAITING) {
            state = State.REMINDED;
            for (int a = 0; a < knownUnits.length; a++) {
                accounts.get(a).assumedBalance = reminder.units()[a] - knownUnits[a];
            }
        }
    }

    /**
     * Takes over the reminder of a neighbour other than the ring successor. Only a debt in it counts, as the
     * successor may have passed on any supply. Guards against a router that restarts within a network partition and
     * uses supply that is moved to it though it owes supply.
     */
    void remindedByOther(SupplyReminder reminder) {
        if (state == State.WAITING) {
            for (int a = 0; a < knownUnits.length; a++) {
                accounts.get(a).assumedBalance =
                        Math.min(accounts.get(a).assumedBalance, Math.min(0, reminder.units()[a]) - knownUnits[a]);
            }
        }
    }

    /** Is called before a message is processed, which may make a ledger known again. */
    void beforeMessage() {
        for (int a = 0; a < unitsBefore.length; a++) {
            unitsBefore[a] = accounts.get(a).units;
        }
    }

    /**
     * Is called when the message has made a ledger known again: moves its balance from the unknown part to the known.
     *
     * @param allLedgersKnown whether all ledgers are known now
     */
    void ledgerKnown(boolean allLedgersKnown) {
        for (int a = 0; a < knownUnits.length; a++) {
            int balance = accounts.get(a).units - unitsBefore[a];
            knownUnits[a] += balance;
            accounts.get(a).assumedBalance -= state == State.SETTLED ? 0 : balance;
        }
        if (allLedgersKnown) {
            settle();
        }
    }

    /** Is called at each tick; gives up waiting for the ring successor's reminder after the time-out. */
    void tick(boolean successorAnswered, long now) {
        if (state == State.WAITING
                && now - startedAt
                        >= (successorAnswered ? NO_REMINDER_TIMEOUT_NANOS : SILENT_SUCCESSOR_TIMEOUT_NANOS)) {
            settle();
        }
    }

    private void settle() {
        state = State.SETTLED;
        accounts.forEach(account -> account.assumedBalance = 0);
    }
}
