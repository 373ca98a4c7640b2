package slateseam.simulate;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import slateseam.simulate.PlantedBug.Change;

/** The rules' model beside the real core, module and ring, over fixed seeds; and bugs that it must find. */
class RulesModelTest {
    private static final long HISTORIES = 60;
    /** A planted bug is looked for in so many; the rarest breaks a rule in one history of a hundred. */
    private static final long HISTORIES_WITH_A_BUG = 600;
    /** A planted bug may spin without end; by far more than any takes. */
    private static final Duration MOST = Duration.ofMinutes(2);

    @Test
    void everyHistoryKeepsTheRules() throws Exception {
        assertThat(RulesStage.play(1, HISTORIES)).isNull();
    }

    /** At least one for each rule. */
    static Stream<PlantedBug> bugs() {
        return Stream.of(
                bug(
                        "ANSWERED_TWICE",
                        change(
                                "router/core/Core",
                                "            slot.front.answer(slot.exchange, answer);",
                                "slot.front.answer(slot.exchange, answer);\n            slot.front.answer(slot.exchange, answer);")),
                bug(
                        "LATE",
                        change(
                                "router/core/Core",
                                "            slot.front.answer(slot.exchange, answer);",
                                "answer instanceof Answer.Served ? answer : slot.front.answer(slot.exchange, answer);")),
                bug(
                        "FOREIGN",
                        change(
                                "router/core/Core",
                                "finish(ticket, served);",
                                "finish(ticket, served instanceof Answer.Served ? new Answer.Served(new byte[] {'x'}) : served);")),
                // Two guards: when it is sent, and when it is written.
                bug(
                        "RESEND KEYED",
                        change("decision/Job", "now - arrivedAt < type.windowNanos()", "true"),
                        change(
                                "decision/Job",
                                "boolean bound = mayHaveRun && type.effect() == Effect.TOKEN;",
                                "boolean bound = false;")),
                known("RESEND ONCE", "sends a once-write again that may have run"),
                bug(
                        "TWO_AT_ONCE",
                        change("decision/Job", "return attemptInProgress && attempt == attempts - 1;", "return true;")),
                bug(
                        "ATTEMPTS",
                        change(
                                "router/core/Core",
                                "remainingNanos <= 0 || attempt >= slot.request.version().settings().limits().attempts()",
                                "remainingNanos <= 0 || attempt > 4"),
                        change(
                                "decision/Job",
                                "return attempts + times <= maxAttempts;",
                                "return attempts + times <= maxAttempts + 1;")),
                bug(
                        "AFTER_ANSWER",
                        change(
                                "router/pass/Passes",
                                "            pass.isLast = true;\n            if (!pass.isWritten()) {",
                                "            pass.isLast = true;\n            if (false) {"),
                        change(
                                "decision/Brain",
                                "if (job.attemptInProgress && !mustFillCache && context.settings().limits().cancel())",
                                "if (false)")),
                known("DRAIN", "sends to a draining server"),
                known("FALLEN", "ignores a cold server's budget"),
                known("REFUSAL", "answers -BUSY after one that may have run"),
                bug("NO_TIME", change("decision/Brain", "limits.retryAfter() ? limits.maxRetryAfterNanos() : 0", "0")),
                bug(
                        "KEPT REPEATABLE",
                        change(
                                "decision/Brain",
                                "if (job.hasAttemptsLeft(1)) {\n            requests.awaitSupply(job);\n        } else {\n            decline(job);\n        }",
                                "requests.awaitSupply(job);")),
                bug(
                        "KEPT ONCE",
                        change(
                                "decision/Brain",
                                "else if (job.mayHaveRun && !job.repeatable(context.now())) {\n            decline(job);",
                                "else if (job.mayHaveRun && !job.repeatable(context.now())) {\n            job.reachedServer = true;")));
    }

    private static PlantedBug bug(String rule, Change... changes) {
        return new PlantedBug(rule, null, null, List.of(changes));
    }

    /** One that is planted in whole days too. */
    private static PlantedBug known(String rule, String name) {
        PlantedBug bug = PlantedBug.all().stream()
                .filter(one -> one.name().equals(name))
                .findFirst()
                .orElseThrow();
        return new PlantedBug(rule, null, null, bug.changes());
    }

    private static Change change(String file, String text, String instead) {
        return new Change("src/main/java/slateseam/" + file + ".java", text, instead);
    }

    @ParameterizedTest
    @MethodSource("bugs")
    void aPlantedBugIsFound(PlantedBug bug) throws Exception {
        String found = assertTimeoutPreemptively(
                MOST, () -> new Planted(bug).call("slateseam.simulate.RulesStage", "play", 1, HISTORIES_WITH_A_BUG));
        assertThat(found)
                .as("what the model says of a bug that breaks " + bug.name())
                .startsWith(bug.name());
    }
}
