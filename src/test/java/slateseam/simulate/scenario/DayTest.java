package slateseam.simulate.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import slateseam.router.config.NodeConfig;

/** A day follows from scenario and seed, and what is left out of it shifts nothing else. */
class DayTest {
    private final Scenario usual = Scenarios.usual();

    @Test
    void theSameSeedDrawsTheSameDayAndAnotherSeedAnother() {
        String day = shown(Day.draw(usual, 7, FaultChoice.AS_WRITTEN));

        assertThat(shown(Day.draw(Scenarios.usual(), 7, FaultChoice.AS_WRITTEN)))
                .isEqualTo(day);
        assertThat(shown(Day.draw(usual, 8, FaultChoice.AS_WRITTEN))).isNotEqualTo(day);
    }

    @Test
    void leavingMachinesOutLeavesTheOthersAsTheyWere() {
        Set<String> out = Set.of("big-2", "small-1", "user-1", "router-3");
        for (long seed = 0; seed < 40; seed++) {
            Day whole = Day.draw(usual, seed, new FaultChoice(EnumSet.range(FaultKind.CRASH, FaultKind.SURGE)));
            Day less = Day.draw(
                    usual.without(out), seed, new FaultChoice(EnumSet.range(FaultKind.CRASH, FaultKind.SURGE)));

            assertThat(less.servers()).hasSize(whole.servers().size() - 2).isSubsetOf(whole.servers());
            assertThat(less.userAgents())
                    .isSubsetOf(whole.userAgents())
                    .extracting("name")
                    .doesNotContain("user-1");
            assertThat(less.userAgents())
                    .extracting("router")
                    .doesNotContain(whole.routers().get(2).listen());
            assertThat(less.routers())
                    .extracting("number")
                    .containsExactlyElementsOf(
                            IntStream.range(0, whole.routers().size() - 1)
                                    .boxed()
                                    .toList());
            assertThat(less.timeline().faults())
                    .isEqualTo(whole.timeline().faults().stream()
                            .map(fault -> fault.with(fault.targets().stream()
                                    .filter(target ->
                                            Arrays.stream(target.split("~")).noneMatch(out::contains))
                                    .toList()))
                            .filter(f -> !f.targets().isEmpty() || f.kind().targets() == FaultKind.Targets.NONE)
                            .toList());
            assertThat(less.network()).usingRecursiveComparison().isEqualTo(whole.network());
            assertThat(List.of(less.origin(), less.habits(), less.popularity(), less.work(), less.rate()))
                    .isEqualTo(List.of(whole.origin(), whole.habits(), whole.popularity(), whole.work(), whole.rate()));
        }
    }

    @Test
    void aFurtherServerOfOneKindLeavesAllOthersAsTheyWere() {
        Value seven = new Value.Range(7, 7, Unit.COUNT);
        Day before = Day.draw(usual, 3, FaultChoice.NONE);
        Day after = Day.draw(usual.with("servers", "big", "number", seven), 3, FaultChoice.NONE);

        assertThat(after.servers()).hasSize(before.servers().size() + 1).containsAll(before.servers());
        assertThat(after.servers())
                .extracting(server -> server.figures().speed())
                .doesNotHaveDuplicates();
    }

    @Test
    void aDrawnDayWrittenAsAScenarioIsTheSameDayWhateverSeedIsAsked() throws InvalidScenarioException {
        for (long seed = 0; seed < 40; seed++) {
            Day day = Day.draw(usual, seed, FaultChoice.AS_WRITTEN);
            Scenario written = day.asScenario();
            Scenario read = Scenarios.parse("written", written.toString());

            assertThat(read).isEqualTo(written);
            assertThat(shown(Day.draw(read, 999, FaultChoice.AS_WRITTEN))).isEqualTo(shown(day));
        }
    }

    @Test
    void theFaultsOfManySeedsStayWithinTheScenario() {
        Set<FaultKind> seen = new HashSet<>();
        Set<Integer> together = new HashSet<>();
        Set<String> crashed = new HashSet<>();
        for (long seed = 0; seed < 300; seed++) {
            Day day = Day.draw(usual, seed, FaultChoice.AS_WRITTEN);
            day.timeline().faults().forEach(fault -> seen.add(fault.kind()));
            together.add((int)
                    day.timeline().faults().stream().map(Fault::kind).distinct().count());
            for (Fault fault : day.timeline().of(FaultKind.CRASH)) {
                crashed.addAll(fault.targets());
                assertThat(fault.targets().size() / (double) day.servers().size())
                        .isBetween(0.05, 0.19);
                assertThat(fault.until() - fault.at()).isBetween(10_000_000_000L, 23_000_000_000L);
            }
            for (Fault fault : day.timeline().of(FaultKind.ORIGIN_SLOW)) {
                assertThat(fault.size()).isBetween(3.3, 7.7);
            }
        }

        assertThat(seen)
                .containsExactlyInAnyOrderElementsOf(Arrays.stream(FaultKind.values())
                        .filter(FaultKind::isDrawn)
                        .toList());
        assertThat(together).contains(0, 1, 2, 3);
        assertThat(crashed).hasSizeGreaterThan(11); // of 14 in about 35 draws
        assertThat(Day.draw(usual, 1, FaultChoice.parse("restart,crash"))
                        .timeline()
                        .faults())
                .extracting(Fault::kind)
                .containsOnly(FaultKind.CRASH, FaultKind.RESTART)
                .hasSize(2);
        assertThat(Day.draw(usual, 1, FaultChoice.parse("none")).timeline().faults())
                .isEmpty();
    }

    @Test
    void noTwoDrawnFaultsPutOneMachineOutOfUse() {
        EnumSet<FaultKind> down = EnumSet.of(
                FaultKind.CRASH, FaultKind.DRAIN, FaultKind.REPLACE, FaultKind.SILENCE, FaultKind.ROUTER_KILL);
        for (long seed = 0; seed < 100; seed++) {
            List<Fault> faults =
                    Day.draw(usual, seed, new FaultChoice(down)).timeline().faults();
            for (Fault first : faults) {
                assertThat(faults)
                        .noneMatch(second -> second != first
                                && second.at() <= first.until()
                                && first.at() <= second.until()
                                && second.targets().stream().anyMatch(first.targets()::contains));
            }
        }
    }

    @Test
    void aRouterReadsTheConfigurationThatIsWrittenForIt() throws Exception {
        Day day = Day.draw(usual, 5, FaultChoice.NONE);
        RouterConfig configs = new RouterConfig(day);

        for (Day.Router router : day.routers()) {
            NodeConfig config = NodeConfig.parse(configs.text(router, 1, true, configs.known(4)));
            assertThat(config.name()).isEqualTo(router.name());
            assertThat(config.settings().me()).isEqualTo(router.number());
            assertThat(config.peers()).hasSize(day.routers().size());
            assertThat(config.discovery().getPort()).isEqualTo(Day.MOVED_PORT);
            assertThat(config.settings().classes()).extracting("name").containsExactly("read", "put", "once");
            assertThat(config.known().getJSONArray("hosts").length())
                    .isEqualTo(day.servers().size() + 1);
        }
    }

    /** All that was drawn, as text; arrays do not show their numbers by themselves. */
    private static String shown(Day day) {
        return List.of(
                        day.durationNanos(),
                        Arrays.deepToString(day.network().ways()),
                        day.network().split(),
                        day.network().backlog(),
                        day.routers(),
                        day.routerRules(),
                        day.servers(),
                        day.origin(),
                        day.discovery(),
                        day.work(),
                        day.values(),
                        day.classes(),
                        day.tenants(),
                        day.userAgents(),
                        day.habits(),
                        day.rate(),
                        day.popularity(),
                        day.rude(),
                        day.timeline())
                .toString();
    }
}
