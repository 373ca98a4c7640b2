package slateseam.standin.useragent;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.BiConsumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import slateseam.standin.ValueFigures;
import slateseam.standin.useragent.ClassFigures.Effect;
import slateseam.standin.useragent.Habits.Connections;
import slateseam.standin.useragent.Outcomes.Ending;
import slateseam.standin.useragent.Stage.Scripted;

/** User agents against a scripted router: what they ask again, what they close, and what they leave open. */
class UserAgentTest {
    private static final String ROUTER = "10.1.0.1:6379";
    private static final String VALUE = "$3\r\nabc\r\n";
    private static final Pattern COMMAND = Pattern.compile("\\*[45]\r\n\\$9\r\nCACHE\\.(GET|SET)\r\n"
            + "\\$16\r\n([0-9a-f]{16})\r\n\\$16\r\n([0-9a-f]{16})\r\n\\$\\d+\r\n(\\S+)\r\n");

    private final Stage stage = new Stage();
    private final List<String> told = new ArrayList<>();
    private Scripted router;

    private record Asked(String key, String id, String facts) {
        static Asked of(String command) {
            Matcher matcher = COMMAND.matcher(command);
            assertThat(matcher.lookingAt()).as(command).isTrue();
            return new Asked(matcher.group(2), matcher.group(3), matcher.group(4));
        }

        String fact(String name) {
            Matcher matcher = Pattern.compile("(?:^|,)" + name + "=([^,]*)").matcher(facts);
            return matcher.find() ? matcher.group(1) : null;
        }
    }

    private static Habits habits(Connections connections, boolean waitsForLate, int retries) {
        return new Habits(
                connections,
                8,
                0.5,
                waitsForLate,
                100 * Stage.MILLI,
                retries,
                false,
                40 * Stage.MILLI,
                2_000 * Stage.MILLI,
                true,
                0,
                1_000 * Stage.MILLI);
    }

    private static ClassFigures kind(Effect effect) {
        return new ClassFigures(
                effect.name().toLowerCase(Locale.ROOT),
                1,
                effect != Effect.REPEATABLE,
                effect,
                "all",
                effect == Effect.KEYED ? 400 * Stage.MILLI : 0,
                500 * Stage.MILLI,
                1_000 * Stage.MILLI,
                1,
                0);
    }

    /** A process that asks nothing by itself. */
    private UserAgent process(Habits habits, Entry entry) {
        Outcomes outcomes = new Outcomes() {
            @Override
            public void answered(Request request, String id, Answer answer, long at) {
                told.add("answered " + request.number() + " " + answer.kind() + " "
                        + new String(answer.value(), StandardCharsets.ISO_8859_1));
            }

            @Override
            public void ended(Request request, Ending ending, long at) {
                told.add("ended " + request.number() + " " + ending);
            }

            @Override
            public void unasked(String userAgent, String from, long at) {
                told.add("unasked");
            }
        };
        Surroundings at = new Surroundings(
                stage,
                stage,
                outcomes,
                List.of(kind(Effect.REPEATABLE)),
                List.of(),
                habits,
                RateFigures.STEADY,
                new Popularity(new PopularityFigures(10, 1, 0, 0, 1)),
                ValueFigures.usual(),
                Surroundings.Asks.ALL,
                stage.now(),
                0);
        return new UserAgent(
                new UserAgentFigures("user-1", "10.4.0.1", entry == null ? ROUTER : null, 0, true),
                at,
                entry,
                RandomSource.XO_RO_SHI_RO_128_PP.create(new long[] {1, 2}));
    }

    private UserAgent process(Habits habits, BiConsumer<Scripted.Line, String> script) {
        router = new Scripted(stage, ROUTER, script);
        return process(habits, (Entry) null);
    }

    private Request request(int number, Effect effect) {
        return new Request("user-1", number, kind(effect), null, "00000000000000aa", 1_000 + number, stage.now());
    }

    @ParameterizedTest(name = "{0} after {1}: {2} tries")
    @CsvSource({
        "REPEATABLE, error,       3, FAILED",
        "REPEATABLE, reset,       3, BROKEN",
        "REPEATABLE, unavailable, 3, UNAVAILABLE",
        "KEYED,      error,       3, FAILED",
        "KEYED,      reset,       3, BROKEN",
        "KEYED,      late error,  1, FAILED",
        "KEYED,      unavailable, 3, UNAVAILABLE",
        "ONCE,       error,       1, FAILED",
        "ONCE,       reset,       1, BROKEN",
        "ONCE,       half,        1, BROKEN",
        "ONCE,       null,        1, FAILED",
        "ONCE,       unavailable, 3, UNAVAILABLE",
    })
    void asksAgainOnlyWhatTheClassPermits(Effect effect, String answer, int tries, Ending ending) {
        UserAgent process = process(habits(Connections.REUSED, false, 2), (line, command) -> {
            switch (answer) {
                case "error" -> line.answer("-ERR failed\r\n");
                case "late error" -> stage.at(stage.now() + 380 * Stage.MILLI, () -> line.answer("-ERR failed\r\n"));
                case "unavailable" -> line.answer("-BUSY 30\r\n");
                case "null" -> line.answer("$-1\r\n");
                case "half" -> {
                    line.answer("$3\r\na");
                    line.wire.end();
                }
                default -> line.wire.reset();
            }
        });
        process.ask(request(0, effect));
        stage.runFor(2_000);

        List<Asked> asked = router.commands().stream().map(Asked::of).toList();
        assertThat(asked).hasSize(tries);
        assertThat(asked).extracting(Asked::id).doesNotHaveDuplicates();
        assertThat(asked)
                .extracting(a -> a.fact("k"))
                .containsOnly(effect == Effect.KEYED ? asked.get(0).fact("k") : null)
                .allMatch(k -> effect != Effect.KEYED || k != null);
        assertThat(asked.subList(1, tries)).allMatch(again -> "1".equals(again.fact("r")));
        assertThat(asked.get(0).fact("r")).isNull();
        assertThat(told).last().isEqualTo("ended 0 " + ending);
    }

    @Test
    void anUnreachableRouterLetsEveryClassAskAgainAndAnUnavailableAnswerIsHeeded() {
        UserAgent process = process(
                habits(Connections.REUSED, false, 2),
                (line, command) -> line.answer(router.commands().size() == 1 ? "-BUSY 250\r\n" : VALUE));
        stage.unlisten(ROUTER);
        process.ask(request(0, Effect.ONCE));
        stage.runFor(20);
        stage.listen(ROUTER, wire -> {
            Scripted.Line line = router.new Line(wire);
            router.lines.add(line);
            return line;
        });
        stage.runFor(230);

        assertThat(router.commands()).hasSize(1);
        stage.runFor(80);
        assertThat(router.commands()).hasSize(2);
        assertThat(told).containsExactly("answered 0 UNAVAILABLE ", "answered 0 SERVED abc", "ended 0 SERVED");
    }

    @Test
    void aRequestThatACloseCrossedIsSentOnceMoreOnANewConnection() {
        UserAgent process = process(habits(Connections.REUSED, false, 0), (line, command) -> {
            if (line.came.size() == 1 && router.lines.size() == 1) {
                line.answer(VALUE);
            } else {
                line.wire.end();
            }
        });
        process.ask(request(0, Effect.ONCE));
        stage.runFor(50);
        process.ask(request(1, Effect.ONCE));
        stage.runFor(2_000);

        assertThat(router.lines).hasSize(2);
        List<Asked> asked = router.commands().stream().map(Asked::of).toList();
        assertThat(asked).hasSize(3);
        assertThat(asked.get(2).id())
                .isEqualTo(asked.get(1).id())
                .isNotEqualTo(asked.get(0).id());
        assertThat(told).containsExactly("answered 0 SERVED abc", "ended 0 SERVED", "ended 1 BROKEN");
    }

    @Test
    void whatIsGivenUpIsClosedAndNothingComesBehindTheClose() {
        UserAgent process = process(
                habits(Connections.REUSED, false, 0),
                (line, command) -> stage.at(stage.now() + 700 * Stage.MILLI, () -> line.answer(VALUE)));
        process.ask(request(0, Effect.REPEATABLE));
        stage.runFor(595);
        assertThat(router.lines.get(0).ended || router.lines.get(0).broken).isFalse();
        assertThat(Asked.of(router.commands().get(0)).fact("d")).isEqualTo("499");
        stage.runFor(20);

        assertThat(router.lines.get(0).ended || router.lines.get(0).broken).isTrue();
        process.ask(request(1, Effect.REPEATABLE));
        stage.runFor(1_000);
        assertThat(router.lines).hasSize(2);
        assertThat(told).containsExactly("ended 0 GIVEN_UP", "ended 1 GIVEN_UP");
    }

    @Test
    void aLateAnswerThatIsWaitedForIsNotTakenForTheNextRequests() {
        UserAgent process = process(
                habits(Connections.REUSED, true, 0),
                (line, command) -> stage.at(
                        stage.now() + (router.commands().size() == 1 ? 700 : 10) * Stage.MILLI,
                        () -> line.answer(router.commands().size() == 1 ? "$4\r\nlate\r\n" : VALUE)));
        process.ask(request(0, Effect.REPEATABLE));
        stage.runFor(650);
        process.ask(request(1, Effect.REPEATABLE));
        stage.runFor(30);
        assertThat(told).containsExactly("ended 0 GIVEN_UP", "answered 1 SERVED abc", "ended 1 SERVED");
        stage.runFor(100);

        assertThat(told).hasSize(4).last().asString().startsWith("answered 0 SERVED");
        assertThat(router.lines).hasSize(2).noneMatch(line -> line.ended || line.broken);
        process.ask(request(2, Effect.REPEATABLE));
        process.ask(request(3, Effect.REPEATABLE));
        stage.runFor(50);
        assertThat(router.lines).hasSize(2);
    }

    @ParameterizedTest
    @CsvSource({"REUSED, 1, false", "ONCE, 3, true", "LEFT_OPEN, 3, false"})
    void connectionsAreUsedAgainClosedOrLeftOpen(Connections connections, int lines, boolean ended) {
        UserAgent process = process(habits(connections, false, 0), (line, command) -> line.answer(VALUE));
        for (int i = 0; i < 3; i++) {
            process.ask(request(i, Effect.REPEATABLE));
            stage.runFor(20);
        }
        stage.runFor(60_000);

        assertThat(router.lines).hasSize(lines).allMatch(line -> line.ended == ended && !line.broken);
        assertThat(router.commands()).hasSize(3);
    }

    @Test
    void whatFindsNoConnectionWaitsAndIsTakenInOrder() {
        UserAgent process = process(
                habits(Connections.REUSED, false, 0),
                (line, command) -> stage.at(stage.now() + 100 * Stage.MILLI, () -> line.answer(VALUE)));
        for (int i = 0; i < 20; i++) {
            process.ask(request(i, Effect.REPEATABLE));
        }
        stage.runFor(1_000);

        assertThat(router.lines).hasSize(8);
        assertThat(router.commands()).hasSize(20);
        assertThat(told.stream().filter(line -> line.startsWith("ended")))
                .hasSize(20)
                .allMatch(line -> line.endsWith("SERVED"));
    }

    @Test
    void answersInAnyPiecesAreReadAndWhatNobodyAskedForIsTold() {
        String answer = "*3\r\n$8\r\na\r\n\u00c3\u00a4\r\nb\r\n$3\r\nhit\r\n$-1\r\n";
        UserAgent process = process(
                habits(Connections.REUSED, false, 0),
                (line, command) -> answer.chars().forEach(c -> line.answer(String.valueOf((char) c))));
        process.ask(request(0, Effect.REPEATABLE));
        stage.runFor(50);
        assertThat(told).containsExactly("answered 0 SERVED a\r\n\u00c3\u00a4\r\nb", "ended 0 SERVED");

        router.lines.get(0).answer(VALUE);
        stage.runFor(50);
        assertThat(told).last().isEqualTo("unasked");
        assertThat(router.lines.get(0).broken).isTrue();
    }

    @Test
    void aFrontLeavesARouterThatIsSilentAndComesBackToItWhenItAnswers() {
        boolean[] silent = {false};
        String other = "10.1.0.2:6379";
        router = new Scripted(stage, ROUTER, (line, command) -> {
            if (!silent[0]) {
                line.answer(command.contains("PING") ? "+PONG\r\n" : VALUE);
            }
        });
        new Scripted(stage, other, (line, command) -> line.answer(command.contains("PING") ? "+PONG\r\n" : VALUE));
        Front front = new Front(
                stage,
                stage,
                "10.5.0.1",
                List.of(ROUTER, other),
                1_000 * Stage.MILLI,
                stage.now() + 60_000 * Stage.MILLI);
        front.start();
        stage.runFor(500);
        assertThat(List.of(front.router(), front.router())).containsExactlyInAnyOrder(ROUTER, other);

        silent[0] = true;
        stage.runFor(1_600);
        assertThat(List.of(front.router(), front.router())).containsExactly(other, other);
        silent[0] = false;
        stage.runFor(700);
        assertThat(List.of(front.router(), front.router())).containsExactlyInAnyOrder(ROUTER, other);
    }
}
