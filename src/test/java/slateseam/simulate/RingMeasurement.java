package slateseam.simulate;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import slateseam.simulate.scenario.Day;
import slateseam.simulate.scenario.FaultChoice;
import slateseam.simulate.scenario.Scenario;
import slateseam.simulate.scenario.Scenarios;
import slateseam.simulate.scenario.Unit;
import slateseam.simulate.scenario.Value;
import slateseam.standin.useragent.UserAgentFigures;

/**
 * Measures how long a shift of demand takes to cross the ring. From the beginning of a day a tenth of the routers,
 * one behind the other, is asked for half of all requests, while each router begins with an even part of the budget.
 * It is not run with the tests.
 */
final class RingMeasurement {
    /** Samples, four a second, before all routers have told what they hold. */
    private static final int FROM = 8;

    private RingMeasurement() {}

    /** Takes a scenario file, its number of routers in steps, and the seconds. */
    public static void main(String[] args) throws Exception {
        Scenario scenario = Scenarios.read(Path.of(args[0])).withDuration((long) (Double.parseDouble(args[1]) * 1e9));
        for (int i = 2; i < args.length; i++) {
            int number = Integer.parseInt(args[i]);
            Scenario of = scenario.with("routers", "", "number", new Value.Range(number, number, Unit.COUNT))
                    .with("user-agents", "", "beside-each", new Value.Range(1, 1, Unit.COUNT));
            Day day = Day.draw(of, 1, FaultChoice.NONE);
            List<UserAgentFigures> shifted = new ArrayList<>();
            double rate = day.userAgents().stream()
                    .mapToDouble(UserAgentFigures::rate)
                    .sum();
            int few = Math.max(1, number / 10);
            for (int u = 0; u < number; u++) {
                UserAgentFigures one = day.userAgents().get(u);
                shifted.add(new UserAgentFigures(
                        one.name(),
                        one.address(),
                        one.router(),
                        rate / 2 / (u < few ? few : number - few),
                        one.heeds()));
            }
            Day changed = new Day(
                    day.scenario(),
                    day.streams(),
                    day.durationNanos(),
                    day.network(),
                    day.routers(),
                    day.routerRules(),
                    day.servers(),
                    day.origin(),
                    day.discovery(),
                    day.work(),
                    day.values(),
                    day.classes(),
                    day.tenants(),
                    shifted,
                    day.habits(),
                    day.rate(),
                    day.popularity(),
                    day.rude(),
                    day.timeline());
            Result result = new Play(changed, null).play();
            List<Double> left = result.supplies().imbalance();
            double first = left.stream().skip(FROM).mapToDouble(d -> d).max().orElse(0);
            System.out.printf(
                    Locale.ROOT,
                    "%d routers: imbalance %.2f at first, half of that after %.2f s, a quarter after "
                            + "%.2f s; service %.3f, worst ten seconds %.3f, supplies %.3f in the median, "
                            + "fetches asked %d in %.0f s%n",
                    number,
                    first,
                    after(left, first / 2),
                    after(left, first / 4),
                    result.service().whole().service(),
                    result.service().worstTenSeconds(),
                    result.supplies().median(),
                    result.tallies().get("origin ASKED"),
                    result.nanos() / 1e9);
            System.out.println("  each second: " + every(left));
        }
    }

    private static double after(List<Double> left, double level) {
        for (int i = FROM; i < left.size(); i++) {
            if (left.get(i) <= level) {
                return (i + 1) / 4.0;
            }
        }
        return Double.NaN;
    }

    private static List<String> every(List<Double> left) {
        List<String> shown = new ArrayList<>();
        for (int i = 3; i < left.size(); i += 4) {
            shown.add(String.format(Locale.ROOT, "%.2f", left.get(i)));
        }
        return shown;
    }
}
