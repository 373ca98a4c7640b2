package slateseam.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests both ends of a pair's ledger, message by message. */
class LedgerTest {
    private static final int EVEN_SHARE = Account.WHOLE / 2;
    private static final int AMOUNT = 1_000_000;
    private static final int LOWER_RUN = 10;
    private static final int PREVIOUS_RUN = 20;
    private static final int NEXT_RUN = 30;

    private final Account lowerAccount = new Account(40, EVEN_SHARE);
    private final Account higherAccount = new Account(40, EVEN_SHARE);
    private final Ledger lower = new Ledger(0, true, List.of(lowerAccount));
    private final Ledger higher = new Ledger(0, false, List.of(higherAccount));

    @BeforeEach
    void bothKnowTheLedger() {
        lower.receive(messageOf(higher, PREVIOUS_RUN), LOWER_RUN);
        higher.receive(messageOf(lower, LOWER_RUN), PREVIOUS_RUN);
        lower.receive(messageOf(higher, PREVIOUS_RUN), LOWER_RUN);
        lower.move(0, AMOUNT);
        higher.receive(messageOf(lower, LOWER_RUN), PREVIOUS_RUN);
        lower.receive(messageOf(higher, PREVIOUS_RUN), LOWER_RUN);
        assertThat(higherAccount.units).isEqualTo(EVEN_SHARE + AMOUNT);
        assertThat(lowerAccount.units).isEqualTo(EVEN_SHARE - AMOUNT);
    }

    /**
     * Guards against supply that is used twice: all routers together owned 1.001456 and 1.008781 of the budget at
     * seeds 416 and 461 of {@code simulate supply}. The lower end requests supply by sending a lower total. If the
     * higher end restarted before that message arrived, its new run adopted the total and so gave away supply that
     * its ring successor counted as its own, or more than it had. A trace of the totals sent and adopted shows it;
     * see docs/incidents/2026-12-03-supply-used-twice.md.
     */
    @Test
    void requestToThePreviousRunIsNotGrantedByTheNext() {
        lower.move(0, -AMOUNT / 2);
        messageOf(lower, LOWER_RUN); // this message is lost with the previous run
        Account restartedAccount = new Account(40, EVEN_SHARE);
        Ledger restartedLedger = new Ledger(0, false, List.of(restartedAccount));
        lower.receive(messageOf(restartedLedger, NEXT_RUN), LOWER_RUN);
        restartedLedger.receive(messageOf(lower, LOWER_RUN), NEXT_RUN);
        assertThat(restartedAccount.units).isEqualTo(EVEN_SHARE + AMOUNT);
        lower.receive(messageOf(restartedLedger, NEXT_RUN), LOWER_RUN);
        assertThat(lowerAccount.units).isEqualTo(EVEN_SHARE - AMOUNT);
    }

    /** Supply given to the previous run was debited already, and the next run must get it. */
    @Test
    void supplyGivenToThePreviousRunBelongsToTheNext() {
        lower.move(0, AMOUNT);
        messageOf(lower, LOWER_RUN);
        Account restartedAccount = new Account(40, EVEN_SHARE);
        Ledger restartedLedger = new Ledger(0, false, List.of(restartedAccount));
        lower.receive(messageOf(restartedLedger, NEXT_RUN), LOWER_RUN);
        restartedLedger.receive(messageOf(lower, LOWER_RUN), NEXT_RUN);
        assertThat(restartedAccount.units).isEqualTo(EVEN_SHARE + 2 * AMOUNT);
        assertThat(lowerAccount.units).isEqualTo(EVEN_SHARE - 2 * AMOUNT);
    }

    private static SupplyMessage messageOf(Ledger sender, int run) {
        return sender.message(true, false, run, 40, Map.of());
    }
}
