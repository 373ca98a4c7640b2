package slateseam.simulate.scenario;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.UnaryOperator;

/**
 * What a tier is made of and what befalls it, as ranges of which each seed draws a day. Two scenarios are the same if
 * they have the same sections in the same order, the same script and the same kept requests.
 *
 * @param sections the sections with figures, in the order of the file
 * @param script the faults that are played for every seed
 * @param kept the requests that are asked; null for all
 */
public record Scenario(List<Section> sections, List<Fault> script, Kept kept) {
    private static final String DAY = "day";

    /** Copies the lists. */
    public Scenario {
        sections = List.copyOf(sections);
        script = List.copyOf(script);
    }

    /** The sections of a type, in the order of the file. */
    public List<Section> all(String type) {
        return sections.stream().filter(section -> section.type().equals(type)).toList();
    }

    /** The one section of a type; empty of values where the file has none. */
    public Section one(String type) {
        return sections.stream()
                .filter(section -> section.type().equals(type))
                .findFirst()
                .orElseGet(() -> new Section(type, "", Map.of()));
    }

    /** The section of a type and a name, if there is one. */
    public Optional<Section> named(String type, String name) {
        return sections.stream()
                .filter(s -> s.type().equals(type) && s.name().equals(name))
                .findFirst();
    }

    /** The seed that the scenario plays whatever seed is asked for, if it has one. */
    public Optional<Long> seed() {
        return Optional.ofNullable(one(DAY).value("seed")).map(value -> (long) ((Value.Range) value).low());
    }

    /** The machines that are left out. */
    public Set<String> without() {
        return one(DAY).value("without") instanceof Value.Names names ? new LinkedHashSet<>(names.names()) : Set.of();
    }

    /** The same, played with one seed whatever seed is asked for. */
    public Scenario withSeed(long seed) {
        return changed(DAY, "", day -> day.with("seed", new Value.Range(seed, seed, Unit.COUNT)));
    }

    /**
     * The same without some machines; those that were left out before stay out. Scripted faults no longer name them.
     */
    public Scenario without(Set<String> machines) {
        Set<String> out = new TreeSet<>(without()); // in an order that does not hang on the caller's set
        out.addAll(machines);
        List<Fault> left = new ArrayList<>();
        for (Fault fault : script) {
            List<String> targets = fault.targets().stream()
                    .filter(target -> Arrays.stream(target.split("~")).noneMatch(out::contains))
                    .toList();
            if (!targets.isEmpty() || fault.targets().isEmpty()) {
                left.add(fault.with(targets));
            }
        }
        return out.isEmpty()
                ? this
                : changed(DAY, "", day -> day.with("without", new Value.Names(List.copyOf(out))))
                        .withScript(left);
    }

    /** The same with a day of another length, in nanoseconds; it is written in milliseconds, rounded up. */
    public Scenario withDuration(long nanos) {
        double millis = Math.ceil(nanos / Unit.MILLIS.scale());
        return changed(DAY, "", day -> day.with("duration", new Value.Range(millis, millis, Unit.MILLIS)));
    }

    /** The same with another script. */
    public Scenario withScript(List<Fault> faults) {
        return new Scenario(sections, faults, kept);
    }

    /** The same with other kept requests; null for all. */
    public Scenario withKept(Kept others) {
        return new Scenario(sections, script, others);
    }

    /** The same in which no fault is drawn: only the script is played. */
    public Scenario withoutDrawnFaults() {
        return new Scenario(
                sections.stream()
                        .filter(s -> !s.type().equals("fault") && !s.type().equals("faults"))
                        .toList(),
                script,
                kept);
    }

    /** The same with one value set. */
    public Scenario with(String type, String name, String word, Value value) {
        return changed(type, name, section -> section.with(word, value));
    }

    /** The same with so many routers; the script may then name some that are not there. */
    public Scenario withRouters(int number) {
        return with("routers", "", "number", new Value.Range(number, number, Unit.COUNT));
    }

    /** The same where routers know their tier in common, or not: off, keep or rest. */
    public Scenario withTier(String word) {
        return with("routers", "", "tier", new Value.Choice(List.of(word)));
    }

    private Scenario changed(String type, String name, UnaryOperator<Section> change) {
        return new Scenario(
                sections.stream()
                        .map(s -> s.type().equals(type) && s.name().equals(name) ? change.apply(s) : s)
                        .toList(),
                script,
                kept);
    }

    /** The text of a file from which the same scenario is read again. */
    @Override
    public String toString() {
        return ScenarioWriter.write(this);
    }
}
