package slateseam.simulate;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import slateseam.simulate.check.Breach;
import slateseam.simulate.check.Rule;
import slateseam.simulate.scenario.Day;
import slateseam.simulate.scenario.Fault;
import slateseam.simulate.scenario.FaultChoice;
import slateseam.simulate.scenario.Kept;
import slateseam.simulate.scenario.Scenario;

/**
 * Makes a day that breaks a rule as small as it can be with the same rule still broken: shorter, with fewer faults,
 * machines and requests. It plays at most so many days, and then keeps the smallest that it has.
 */
final class Shrinker {
    private static final long MILLI = 1_000_000L;
    /** No scenario file may have a shorter day. */
    private static final long LEAST_NANOS = 100 * MILLI;

    private record Arrival(String userAgent, int number) {}

    private final Rule rule;
    private final Consumer<String> progress;
    private int plays;
    private Scenario smallest;
    private Result result;

    /**
     * Begins with a day that broke a rule.
     *
     * @param most days that are played at most
     * @param progress takes a line for each step
     */
    Shrinker(Result failed, int most, Consumer<String> progress) {
        this.rule = failed.breaches().get(0).rule();
        this.plays = most;
        this.progress = progress;
        this.result = failed;
        this.smallest = failed.day().asScenario();
    }

    /** The smallest scenario that was found. */
    Scenario shrink() {
        if (!breaks(smallest)) {
            throw new IllegalStateException("the day is not the same once its draws are written out");
        }
        for (int round = 0; round < 2; round++) {
            shorten();
            faults();
            machines();
            requests();
        }
        shorten();
        return smallest;
    }

    /** What the smallest gave when it was played. */
    Result result() {
        return result;
    }

    /** Whether a scenario breaks the rule; if so it is the smallest so far. */
    private boolean breaks(Scenario scenario) {
        if (plays <= 0) {
            return false;
        }
        plays--;
        Day day = Day.draw(scenario, 0, FaultChoice.NONE);
        if (day.routers().isEmpty()) {
            return false;
        }
        Result played = new Play(day, null).play();
        boolean same = played.breaches().stream().anyMatch(breach -> breach.rule() == rule);
        if (same) {
            smallest = scenario;
            result = played;
        }
        return same;
    }

    private Breach breach() {
        return result.breaches().stream()
                .filter(breach -> breach.rule() == rule)
                .findFirst()
                .orElseThrow();
    }

    /** Nothing that is asked after the breach can have led to it. */
    private void shorten() {
        long needed = Math.max(LEAST_NANOS, breach().nanos() - result.begin() + MILLI);
        if (needed < result.day().durationNanos()) {
            breaks(smallest.withDuration(needed));
        }
        told("it lasts " + result.day().durationNanos() / MILLI + " ms");
    }

    private void faults() {
        Scenario before = smallest;
        Least.of(before.script(), left -> breaks(before.withScript(left)));
        for (int i = 0; i < smallest.script().size(); i++) {
            int at = i;
            Scenario now = smallest;
            Fault fault = now.script().get(at);
            if (fault.targets().size() > 1) {
                Least.of(
                        fault.targets(),
                        targets -> !targets.isEmpty() && breaks(now.withScript(with(now, at, targets))));
            }
        }
        told(smallest.script().size() + " faults");
    }

    private static List<Fault> with(Scenario scenario, int at, List<String> targets) {
        List<Fault> script = new ArrayList<>(scenario.script());
        script.set(at, script.get(at).with(targets));
        return script;
    }

    private void machines() {
        Day day = result.day();
        List<String> machines = new ArrayList<>();
        day.userAgents().forEach(userAgent -> machines.add(userAgent.name()));
        day.servers().forEach(server -> machines.add(server.name()));
        day.routers().forEach(router -> machines.add(router.name()));
        Scenario before = smallest;
        Least.of(machines, left -> {
            Set<String> out = new HashSet<>(machines);
            out.removeAll(new HashSet<>(left));
            return breaks(before.without(new TreeSet<>(out)));
        });
        told(result.day().routers().size() + " routers, "
                + result.day().servers().size() + " servers, "
                + result.day().userAgents().size() + " user agents");
    }

    private void requests() {
        List<Arrival> all = new ArrayList<>();
        result.asked()
                .numbers()
                .forEach((userAgent, numbers) ->
                        numbers.stream().forEach(number -> all.add(new Arrival(userAgent, number))));
        Scenario before = smallest;
        Least.of(all, left -> breaks(before.withKept(kept(left))));
        told(result.asked().size() + " requests");
    }

    private static Kept kept(List<Arrival> arrivals) {
        Map<String, BitSet> numbers = new TreeMap<>();
        arrivals.forEach(one ->
                numbers.computeIfAbsent(one.userAgent, name -> new BitSet()).set(one.number));
        return new Kept(numbers);
    }

    private void told(String what) {
        progress.accept(what + " (" + plays + " plays left)");
    }
}
