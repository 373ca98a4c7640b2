package slateseam.trial;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import slateseam.simulate.scenario.Fault;
import slateseam.simulate.scenario.FaultKind;
import slateseam.standin.useragent.Answer;
import slateseam.standin.useragent.ClassFigures;
import slateseam.standin.useragent.Outcomes.Ending;
import slateseam.standin.useragent.Request;

/** The two terms by which routers are seen to serve, told by hand. */
class ServiceLookTest {
    private static final long MILLI = 1_000_000L;
    private static final Answer BUSY = new Answer(Answer.Kind.UNAVAILABLE, 0, new byte[0]);
    private static final Answer SERVED = new Answer(Answer.Kind.SERVED, 0, new byte[0]);

    private final List<Fault> faults = new ArrayList<>();
    private final ServiceLook look =
            new ServiceLook(0, faults, Map.of("at r1", "r1", "at r2", "r2", "at r3", "r3", "at r4", "r4"));
    private final Findings findings = new Findings(() -> 0, 0);
    private int requests;

    private Request ask(String router, long atMillis) {
        Request request = new Request("ua", requests, (ClassFigures) null, null, "k", requests++, atMillis * MILLI);
        look.asked(request);
        look.tried(request, "id", "at " + router, atMillis * MILLI, false);
        return request;
    }

    private void answer(Request request, Answer answer, long atMillis) {
        look.answered(request, "id", answer, atMillis * MILLI);
        look.ended(request, answer == SERVED ? Ending.SERVED : Ending.UNAVAILABLE, atMillis * MILLI);
    }

    /** Refuses so many requests, one in each so many milliseconds. */
    private void refuse(String router, long fromMillis, int times, long everyMillis) {
        for (int i = 0; i < times; i++) {
            long at = fromMillis + i * everyMillis;
            answer(ask(router, at), BUSY, at + 1);
        }
    }

    private List<String> rules(int routers) {
        look.atTheEnd(routers, findings);
        return findings.all().stream()
                .map(finding -> finding.rule() + " " + finding.whom())
                .toList();
    }

    @Test
    void aRouterThatTurnsAllAwayForFourSecondsIsFound() {
        refuse("r1", 0, 17, 250);
        answer(ask("r2", 0), SERVED, 5);
        assertThat(rules(3)).containsExactly("idle r1");
    }

    @Test
    void oneInTenMayTurnAllAway() {
        refuse("r1", 0, 17, 250);
        assertThat(rules(10)).isEmpty();
    }

    @Test
    void aSpellThatIsShortOrThinOrBrokenByAValueOrAnAttemptIsNone() {
        refuse("r1", 0, 40, 99);
        refuse("r2", 0, 14, 500);
        refuse("r3", 0, 10, 250);
        answer(ask("r3", 2_500), SERVED, 2_510);
        refuse("r3", 2_600, 10, 250);
        look.attempts("r4", 7);
        refuse("r4", 0, 10, 250);
        look.attempts("r4", 8);
        refuse("r4", 2_600, 10, 250);
        assertThat(rules(4)).isEmpty();
    }

    @Test
    void whereServersCannotBeReachedNobodyIsBlamedForThat() {
        faults.add(new Fault.Spell(FaultKind.SILENCE, 0, 2_000 * MILLI, List.of("big-1"), 0));
        refuse("r1", 0, 28, 250);
        assertThat(rules(3)).isEmpty();
        refuse("r1", 9_000, 17, 250);
        assertThat(rules(3)).containsExactly("idle r1");
    }

    @Test
    void requestsWithoutAnAnswerAreFoundBeyondOneInFiveHundredAndFive() {
        for (int i = 0; i < 6; i++) {
            look.ended(ask("r1", i), Ending.GIVEN_UP, 2_000 * MILLI);
        }
        assertThat(rules(3)).containsExactly("unanswered r1");
    }

    @Test
    void aFewRequestsAndThoseOfARouterThatWasStoppedAreNotHeldAgainstIt() {
        faults.add(new Fault.Spell(FaultKind.PAUSE, 1_000 * MILLI, 3_000 * MILLI, List.of("r2"), 0));
        for (int i = 0; i < 50; i++) {
            look.ended(ask("r2", 500 + i), Ending.GIVEN_UP, 2_000 * MILLI);
        }
        for (int i = 0; i < 5; i++) {
            look.ended(ask("r1", i), Ending.GIVEN_UP, 2_000 * MILLI);
        }
        assertThat(rules(3)).isEmpty();
    }
}
