package slateseam.decision;

import java.util.List;

/**
 * What a router that has just started takes its supply to be while it has not heard all of its partners. Its books lie
 * with them, and some may be away or cut off for long. Guards against a restart behind a cut that has a router use what
 * it has given away.
 *
 * <p>Until it knows better it uses nothing but what is moved to it in this life. It knows better once all partners have
 * been heard, or once its heir has told what the earlier life had: that, less the ledgers that are known again, is what
 * the others must say. Where neither comes, as its heir has restarted too, is of another build or is gone, it takes the
 * ledgers that it knows for all there are after a while.
 */
final class EarlierSupply {
    /** The heir was heard, and told nothing: it knows nothing. */
    private static final long HEIR_KNOWS_NOTHING = 10 * Timing.SECOND;
    /** The heir was not heard: it may be away for good. */
    private static final long HEIR_UNHEARD = 60 * Timing.SECOND;

    private enum State {
        /** It uses only what is moved to it in this life. */
        WAITING,
        /** It knows what its earlier life had, but not all ledgers. */
        TOLD,
        /** Its books are whole. */
        SETTLED
    }

    private final List<Account> accounts;
    /** What the books said before this life moved anything: the even share and what known ledgers said when they came back. */
    private final int[] base;

    private final int[] before;
    private State state = State.SETTLED;
    private long startedAt;

    EarlierSupply(List<Account> accounts) {
        this.accounts = accounts;
        this.base = new int[accounts.size()];
        this.before = new int[accounts.size()];
    }

    /** A life begins; with ring neighbours alone it takes what they say as it comes. */
    void start(boolean hasPartners, long now) {
        state = hasPartners ? State.WAITING : State.SETTLED;
        startedAt = now;
        for (int a = 0; a < base.length; a++) {
            base[a] = accounts.get(a).units;
            accounts.get(a).unheard = hasPartners ? -base[a] : 0;
        }
    }

    /** Whether its heir is still to tell what the earlier life had. */
    boolean isWaiting() {
        return state == State.WAITING;
    }

    /** The heir, whose ledger is known again, tells. */
    void told(SupplyReminder reminder) {
        if (state == State.WAITING) {
            state = State.TOLD;
            for (int a = 0; a < base.length; a++) {
                accounts.get(a).unheard = reminder.units()[a] - base[a];
            }
        }
    }

    /**
     * One who is not the heir tells what the earlier life told it last. Guards against a restart behind a cut that has a
     * router use what is moved to it though it owes: of that word only the debt counts, as the heir may have passed on the rest.
     */
    void toldByPartner(SupplyReminder reminder) {
        if (state == State.WAITING) {
            for (int a = 0; a < base.length; a++) {
                accounts.get(a).unheard = Math.min(accounts.get(a).unheard, Math.min(0, reminder.units()[a]) - base[a]);
            }
        }
    }

    /** A message is about to be taken, which may bring a ledger back. */
    void hearing() {
        for (int a = 0; a < before.length; a++) {
            before[a] = accounts.get(a).units;
        }
    }

    /** It brought one back: what that says was part of what had not been heard. */
    void adopted(boolean allKnown) {
        for (int a = 0; a < base.length; a++) {
            int said = accounts.get(a).units - before[a];
            base[a] += said;
            accounts.get(a).unheard -= state == State.SETTLED ? 0 : said;
        }
        if (allKnown) {
            settle();
        }
    }

    /** Time goes on. */
    void pass(boolean heirAnswered, long now) {
        if (state == State.WAITING && now - startedAt >= (heirAnswered ? HEIR_KNOWS_NOTHING : HEIR_UNHEARD)) {
            settle();
        }
    }

    private void settle() {
        state = State.SETTLED;
        accounts.forEach(account -> account.unheard = 0);
    }
}
