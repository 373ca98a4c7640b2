package slateseam.simulate.scenario;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import slateseam.standin.useragent.RudeKind;
import slateseam.standin.useragent.UserAgentFigures;

/**
 * Draws faults. Each draws from streams of its own, and machines that are left out are drawn like the others and then
 * dropped, so that what befalls the others stays the same.
 */
final class FaultDraw {
    /** Faults that put a machine out of use: two of them do not meet on one machine. */
    private static final Set<FaultKind> DOWN = EnumSet.of(
            FaultKind.CRASH,
            FaultKind.ROUTER_KILL,
            FaultKind.DRAIN,
            FaultKind.REPLACE,
            FaultKind.SILENCE,
            FaultKind.RESTART);
    /** By which a router that was told to end has ended and started again. */
    private static final long RESTART_NANOS = 7_000_000_000L;

    private static final long MILLI = 1_000_000L;

    private final Scenario scenario;
    private final Streams streams;
    private final long duration;
    private final List<Fault> drawn = new ArrayList<>();

    FaultDraw(Scenario scenario, Streams streams, long duration) {
        this.scenario = scenario;
        this.streams = streams;
        this.duration = duration;
    }

    Timeline timeline(
            FaultChoice choice, List<String> routers, List<String> servers, List<UserAgentFigures> userAgents) {
        drawn.addAll(scenario.script());
        for (FaultKind kind : kinds(choice)) {
            Section section = scenario.named(Schema.FAULT, kind.word())
                    .or(() -> Scenarios.usual().named(Schema.FAULT, kind.word()))
                    .orElseThrow();
            int times = new Drawn(section, streams, "fault " + kind.word()).count("times");
            for (int i = 1; i <= times; i++) {
                String actor = "fault " + kind.word() + " " + i;
                draw(kind, new Drawn(section, streams, actor), actor, routers, servers, userAgents);
            }
        }
        // What was scripted for machines that are left out is not played either.
        List<Fault> there = new ArrayList<>();
        Set<String> without = scenario.without();
        for (Fault fault : drawn) {
            List<String> targets = fault.targets().stream()
                    .filter(target -> Arrays.stream(target.split("~")).noneMatch(without::contains))
                    .toList();
            if (!targets.isEmpty() || fault.kind().targets() == FaultKind.Targets.NONE) {
                there.add(fault.with(targets));
            }
        }
        return new Timeline(there);
    }

    private List<FaultKind> kinds(FaultChoice choice) {
        if (choice.only() != null) {
            return Arrays.stream(FaultKind.values())
                    .filter(choice.only()::contains)
                    .toList();
        }
        List<FaultKind> written = scenario.all(Schema.FAULT).stream()
                .map(s -> FaultKind.find(s.name()))
                .toList();
        if (written.isEmpty()) {
            return written;
        }
        int together = new Drawn(scenario.one("faults"), streams, "faults").count("together");
        return written.stream()
                .sorted(Comparator.comparingLong(kind -> streams.number("faults " + kind.word())))
                .limit(together)
                .sorted()
                .toList();
    }

    private void draw(
            FaultKind kind,
            Drawn figures,
            String actor,
            List<String> routers,
            List<String> servers,
            List<UserAgentFigures> userAgents) {
        long at = Math.round(figures.figure("at") * duration / MILLI) * MILLI;
        long lasts = kind.lasts() ? Math.max(1, Math.round(figures.figure("for") / MILLI)) * MILLI : 0;
        double size = kind.size() == null
                ? 0
                : kind.size() == Unit.Measure.TIME
                        ? Math.round(figures.figure("size") / MILLI) * (double) MILLI
                        : Math.round(figures.figure("size") * 1e4) / 1e4;
        List<String> targets = List.of();
        if (kind.targets() != FaultKind.Targets.NONE) {
            List<String> all = switch (kind.targets()) {
                case SERVERS -> servers;
                case ROUTERS -> routers;
                case MACHINES ->
                    Stream.concat(servers.stream(), routers.stream()).toList();
                case PAIRS -> pairs(routers, servers, userAgents);
                case ROUTER_PAIRS ->
                    routers.stream()
                            .flatMap(from -> routers.stream()
                                    .filter(to -> !to.equals(from))
                                    .map(to -> from + "~" + to))
                            .toList();
                default -> Arrays.stream(RudeKind.values()).map(RudeKind::word).toList();
            };
            int number = Math.max(1, (int) (figures.figure("share") * all.size() + 1e-9));
            long until = kind == FaultKind.RESTART ? at + RESTART_NANOS + (long) size * number : at + lasts;
            targets = all.stream()
                    .filter(target -> !DOWN.contains(kind) || !isDown(target, at, until))
                    .sorted(Comparator.comparingLong(target -> streams.number(actor + " " + target)))
                    .limit(number)
                    .sorted(Comparator.comparingInt(all::indexOf))
                    .toList();
            if (targets.isEmpty()) {
                return;
            }
        }
        drawn.add(Fault.of(kind, at, at + lasts, targets, size));
    }

    private boolean isDown(String machine, long from, long until) {
        return drawn.stream()
                .anyMatch(fault -> DOWN.contains(fault.kind())
                        && fault.targets().contains(machine)
                        && fault.at() <= until
                        && from <= end(fault));
    }

    private static long end(Fault fault) {
        return fault.kind() == FaultKind.RESTART
                ? fault.at()
                        + RESTART_NANOS
                        + (long) fault.size() * fault.targets().size()
                : fault.until();
    }

    /** All pairs between which something passes. */
    private static List<String> pairs(List<String> routers, List<String> servers, List<UserAgentFigures> userAgents) {
        List<String> pairs = new ArrayList<>();
        for (int i = 0; i < routers.size(); i++) {
            String router = routers.get(i);
            servers.forEach(server -> pairs.add(router + "~" + server));
            pairs.add(router + "~" + Day.Origin.NAME);
            pairs.add(router + "~" + router.replaceFirst("router", "discovery"));
            for (int j = i + 1; j < routers.size(); j++) {
                pairs.add(router + "~" + routers.get(j));
            }
        }
        int each = userAgents.size() / routers.size();
        for (int i = 0; i < userAgents.size(); i++) {
            if (userAgents.get(i).router() != null) {
                pairs.add(userAgents.get(i).name() + "~" + routers.get(i / each));
            }
        }
        return pairs;
    }
}
