package slateseam.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests both ends of a pair's ledger, message by message. */
class LedgerTest {
    private static final int EVEN = Account.WHOLE / 2;
    private static final int AMOUNT = 1_000_000;
    private static final int LOWER_LIFE = 10;
    private static final int EARLIER_LIFE = 20;
    private static final int LATER_LIFE = 30;

    private final Account lowerAccount = new Account(40, EVEN);
    private final Account higherAccount = new Account(40, EVEN);
    private final Ledger lower = new Ledger(0, true, List.of(lowerAccount));
    private final Ledger higher = new Ledger(0, false, List.of(higherAccount));

    @BeforeEach
    void bothKnowTheLedger() {
        lower.hear(told(higher, EARLIER_LIFE), LOWER_LIFE);
        higher.hear(told(lower, LOWER_LIFE), EARLIER_LIFE);
        lower.hear(told(higher, EARLIER_LIFE), LOWER_LIFE);
        lower.move(0, AMOUNT);
        higher.hear(told(lower, LOWER_LIFE), EARLIER_LIFE);
        lower.hear(told(higher, EARLIER_LIFE), LOWER_LIFE);
        assertThat(higherAccount.units).isEqualTo(EVEN + AMOUNT);
        assertThat(lowerAccount.units).isEqualTo(EVEN - AMOUNT);
    }

    /**
     * Guards against supply that is used twice: all routers together owned 1.001456 and 1.008781 of the budget at
     * seeds 416 and 461 of {@code simulate supply}. The lower end requests supply by sending a lower total. If the
     * higher end restarted before that message arrived, its new run adopted the total and so gave away supply that
     * its ring successor counted as its own, or more than it had. A trace of the totals sent and adopted shows it;
     * see docs/incidents/2026-12-03-supply-used-twice.md.
     */
    @Test
    void whatWasAskedOfAnEarlierLifeIsNotTakenFromTheNext() {
        lower.move(0, -AMOUNT / 2);
        told(lower, LOWER_LIFE); // this message is lost with the previous run
        Account restarted = new Account(40, EVEN);
        Ledger later = new Ledger(0, false, List.of(restarted));
        lower.hear(told(later, LATER_LIFE), LOWER_LIFE);
        later.hear(told(lower, LOWER_LIFE), LATER_LIFE);
        assertThat(restarted.units).isEqualTo(EVEN + AMOUNT);
        lower.hear(told(later, LATER_LIFE), LOWER_LIFE);
        assertThat(lowerAccount.units).isEqualTo(EVEN - AMOUNT);
    }

    /** Supply given to the previous run was debited already, and the next run must get it. */
    @Test
    void whatWasGivenToAnEarlierLifeIsTheNextOnes() {
        lower.move(0, AMOUNT);
        told(lower, LOWER_LIFE);
        Account restarted = new Account(40, EVEN);
        Ledger later = new Ledger(0, false, List.of(restarted));
        lower.hear(told(later, LATER_LIFE), LOWER_LIFE);
        later.hear(told(lower, LOWER_LIFE), LATER_LIFE);
        assertThat(restarted.units).isEqualTo(EVEN + 2 * AMOUNT);
        assertThat(lowerAccount.units).isEqualTo(EVEN - 2 * AMOUNT);
    }

    private static SupplyMessage told(Ledger by, int life) {
        return by.message(true, false, life, 40, Map.of());
    }
}
