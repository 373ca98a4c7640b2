package slateseam.standin.useragent;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import slateseam.standin.ValueFigures;
import slateseam.standin.useragent.ClassFigures.Effect;
import slateseam.standin.useragent.Outcomes.Ending;
import slateseam.standin.useragent.Stage.Scripted;

/** What all user agents of a day ask together, what rude ones do, and how service is counted. */
class CrowdTest {
    private static final String ROUTER = "10.1.0.1:6379";
    private static final ClassFigures READ = new ClassFigures(
            "read", 0.9, false, Effect.REPEATABLE, "all", 0, 500 * Stage.MILLI, 1_000 * Stage.MILLI, 2, 0);
    private static final ClassFigures PUT = new ClassFigures(
            "put", 0.1, true, Effect.KEYED, "all", 1_000 * Stage.MILLI, 500 * Stage.MILLI, 1_000 * Stage.MILLI, 3, 0.5);
    private static final TenantFigures ACME = new TenantFigures("acme", 0.7, 0.7, 3);
    private static final TenantFigures UMBRA = new TenantFigures("umbra", 0.3, 0.3, 1_000);
    private static final PopularityFigures KEYS = new PopularityFigures(1_000, 1.1, 4, 0.02, 9);

    private final Stage stage = new Stage();
    private final long begin = stage.now();
    private final List<Request> asked = new ArrayList<>();

    private Surroundings surroundings(RateFigures rate, Surroundings.Asks asks) {
        Outcomes outcomes = new Outcomes() {
            @Override
            public void asked(Request request) {
                asked.add(request);
            }
        };
        Habits habits = new Habits(Habits.Connections.REUSED, 64, 1, false, 0, 0, true, 0, 0, true, 0, 0);
        return new Surroundings(
                stage,
                stage,
                outcomes,
                List.of(READ, PUT),
                List.of(ACME, UMBRA),
                habits,
                rate,
                new Popularity(KEYS),
                ValueFigures.usual(),
                asks,
                begin,
                100_000 * Stage.MILLI);
    }

    private static UniformRandomProvider stream(String actor) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(new long[] {actor.hashCode(), 77});
    }

    private List<Request> asked(RateFigures rate, Surroundings.Asks asks, int processes) {
        List<UserAgentFigures> figures = new ArrayList<>();
        for (int i = 1; i <= processes; i++) {
            figures.add(new UserAgentFigures("user-" + i, "10.4.0." + i, ROUTER, 100, true));
        }
        asked.clear();
        new Crowd(surroundings(rate, asks), figures, null, CrowdTest::stream).start();
        stage.runFor(102_000);
        return List.copyOf(asked);
    }

    /** The router never answers, so that whoever waited for answers would ask far less. */
    @Test
    void arrivalsComeAtTheirRateAndNeverWaitForAnswers() {
        new Scripted(stage, ROUTER, (line, command) -> {});
        List<Request> all = asked(RateFigures.STEADY, Surroundings.Asks.ALL, 2);

        // 20,000 expected of a Poisson process: 4 standard deviations are 566, and so on for its parts.
        assertThat(all).hasSizeBetween(19_434, 20_566);
        assertThat(all.stream().filter(r -> r.kind() == PUT).count()).isBetween(1_821L, 2_179L);
        assertThat(all.stream().filter(r -> r.tenant() == ACME).count()).isBetween(13_527L, 14_473L);
        assertThat(all).isSortedAccordingTo((a, b) -> Long.compare(a.asked(), b.asked()));
        double gaps = 0;
        for (int i = 1; i < all.size(); i++) {
            gaps += Math.pow((all.get(i).asked() - all.get(i - 1).asked()) / 5e6, 2);
        }
        // The mean square of an exponential gap is twice the square of its mean.
        assertThat(gaps / all.size()).isCloseTo(2, within(0.2));
        assertThat(all).extracting(r -> r.id(0)).doesNotHaveDuplicates();
    }

    @Test
    void popularityFollowsItsLawAndDriftsToNewKeys() {
        Popularity popularity = new Popularity(KEYS);
        UniformRandomProvider random = stream("popularity");
        int[] counts = new int[1_000];
        int draws = 200_000;
        for (int i = 0; i < draws; i++) {
            counts[popularity.rank(random.nextDouble())]++;
        }
        double law = 0;
        for (int rank = 0; rank < 1_000; rank++) {
            law += Math.pow(rank + 5, -1.1);
        }
        for (int rank : new int[] {0, 1, 9, 99, 999}) {
            double expected = draws * Math.pow(rank + 5, -1.1) / law;
            assertThat((double) counts[rank])
                    .as("rank " + rank)
                    .isCloseTo(expected, within(4 * Math.sqrt(expected) + 1));
        }
        List<String> first = popularity.hottest(1_000, 0);
        List<String> later = new ArrayList<>(popularity.hottest(1_000, 10_000 * Stage.MILLI));
        assertThat(first).doesNotHaveDuplicates();
        later.removeAll(first);
        // 2 % a second for 10 s.
        assertThat(later).hasSizeBetween(150, 250);
    }

    @Test
    void surgesAddAndWanesTakeAwayAndAllOthersAreTheSame() {
        List<Request> steady = asked(RateFigures.STEADY, Surroundings.Asks.ALL, 1);
        long shift = stage.now() - begin;
        RateFigures both = new RateFigures(
                0,
                1,
                0,
                List.of(
                        new RateFigures.Surge(10_000 * Stage.MILLI, 20_000 * Stage.MILLI, 3),
                        new RateFigures.Surge(50_000 * Stage.MILLI, 60_000 * Stage.MILLI, 0.25)));
        CrowdTest other = new CrowdTest();
        List<Request> changed = other.asked(both, Surroundings.Asks.ALL, 1);

        assertThat(shift).isPositive();
        Map<Long, Request> bySeed = new HashMap<>();
        steady.forEach(request -> bySeed.put(request.seed(), request));
        assertThat(changed.stream().filter(r -> !bySeed.containsKey(r.seed())))
                .hasSizeBetween(1_821, 2_179)
                .allMatch(r -> r.number() >= 1_000_000);
        assertThat(changed.stream().filter(r -> bySeed.containsKey(r.seed())).count())
                .isBetween(steady.size() - 860L, steady.size() - 640L);
    }

    @Test
    void leavingOutRequestsOrProcessesLeavesTheOthersAsTheyWere() {
        List<Request> all = asked(RateFigures.STEADY, Surroundings.Asks.ALL, 2);
        CrowdTest other = new CrowdTest();
        List<Request> fewer =
                other.asked(RateFigures.STEADY, (name, number) -> name.equals("user-2") && number % 3 == 0, 2);

        assertThat(fewer)
                .isEqualTo(all.stream()
                        .filter(r -> r.userAgent().equals("user-2") && r.number() % 3 == 0)
                        .toList())
                .hasSizeGreaterThan(3_000);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "ENDLESS_LINE; (?s)\\*4\\r\\n\\$9\\r\\nCACHE\\.GET\\r\\n\\$1{4096}.*",
                "BAD_LENGTH; (?s)(\\*(-5|0|4|99999999)\\r\\n.*|GET / .*)",
                "UNKNOWN_CLASS; (?s).*c=nobody-knows,t=acme,d=500\\r\\n",
                "BAD_DEADLINE; (?s).*c=read,t=acme(,d=(soon|-5|9{20}|1e3|))?\\r\\n",
                "NO_ID; (?s)(\\*3\\r\\n.*|\\*2\\r\\n.*|.*\\$0\\r\\n\\r\\n.*)",
                "SAME_ID; (?s).*\\r\\nthe-id-of-another\\r\\n.*",
                "HALF_SILENT; (?s)\\*.*",
                "HALF_CLOSED; (?s)\\*.*",
                "PIPELINE; (?s)(\\*4\\r\\n\\$9\\r\\nCACHE.GET(\\r\\n\\$16\\r\\n.{16}){2}\\r\\n\\$20\\r\\n"
                        + "c=read,t=acme,d=1000\\r\\n){300}",
                "SILENT; ''",
                "HAMMER; (?s)(\\*4\\r\\n\\$9\\r\\nCACHE.GET\\r\\n.*){10,}",
            })
    void rudeOnesDoWhatTheirKindDoesUntilTheirTimeIsOver(RudeKind kind, String sent) {
        Scripted router = new Scripted(stage, ROUTER, (line, command) -> {
            if (kind != RudeKind.HALF_SILENT && kind != RudeKind.ENDLESS_LINE) {
                line.answer("-BUSY 5\r\n");
            }
        });
        Surroundings at = surroundings(RateFigures.STEADY, Surroundings.Asks.ALL);
        UserAgentFigures beside = new UserAgentFigures("user-1", "10.4.0.1", ROUTER, 0, true);
        new Rude(kind, at, beside, null, () -> "the-id-of-another", stream("rude"), stage.now() + 3_000 * Stage.MILLI)
                .begin();
        stage.runFor(1_000);

        assertThat(String.join("", router.lines.get(0).came)).matches(sent);
        if (kind == RudeKind.HALF_SILENT || kind == RudeKind.SILENT) {
            assertThat(router.lines).hasSize(1);
            router.lines.get(0).wire.end();
            stage.runFor(200);
            assertThat(router.lines).hasSize(2);
        } else if (kind != RudeKind.HAMMER && kind != RudeKind.ENDLESS_LINE && kind != RudeKind.PIPELINE) {
            assertThat(router.lines).hasSizeGreaterThan(5);
        }
        stage.runFor(3_000);
        int lines = router.lines.size();
        int commands = router.commands().size();
        stage.runFor(10_000);
        assertThat(router.lines).hasSize(lines);
        assertThat(router.commands()).hasSize(commands);
    }

    @Test
    void serviceIsTheWorthAnsweredWithinTheAimOverTheWorthAsked() {
        Service service = new Service(begin, 0.1);
        TreeMap<Ending, Long> endings = new TreeMap<>();
        int number = 0;
        for (Object[] row : new Object[][] {
            {READ, ACME, 0, 400, Ending.SERVED},
            {READ, ACME, 10, 600, Ending.SERVED},
            {PUT, ACME, 20, 600, Ending.SERVED},
            {READ, ACME, 30, 100, Ending.SERVED},
            {READ, UMBRA, 40, 50, Ending.LEFT},
            {PUT, UMBRA, 11_000, 20, Ending.UNAVAILABLE},
            {READ, UMBRA, 11_500, 20, Ending.SERVED}
        }) {
            Request request = new Request(
                    "user-1",
                    number++,
                    (ClassFigures) row[0],
                    (TenantFigures) row[1],
                    "k",
                    number,
                    begin + (int) row[2] * Stage.MILLI);
            service.asked(request);
            service.ended(request, (Ending) row[4], request.asked() + (int) row[3] * Stage.MILLI);
            endings.merge((Ending) row[4], 1L, Long::sum);
        }

        // Acme's fourth in one second is over its limit of three: a tenth of 2. Half of 3 for the late put.
        assertThat(service.whole().service()).isCloseTo((2 + 1.5 + 0.2 + 2) / (2 + 2 + 3 + 0.2 + 3 + 2), within(1e-9));
        assertThat(service.byTenant().get("acme").service()).isCloseTo((2 + 1.5 + 0.2) / 7.2, within(1e-9));
        assertThat(service.byClass().get("put").service()).isCloseTo(1.5 / 6, within(1e-9));
        assertThat(service.worstTenSeconds()).isCloseTo(2.0 / 5, within(1e-9));
        assertThat(service.endings()).isEqualTo(endings);
        assertThat(service.late()).isEqualTo(2);
        assertThat(service.open()).isZero();
        assertThat(service.times().get("read").getTotalCount()).isEqualTo(4);
    }
}
