package slateseam.simulate.scenario;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import slateseam.simulate.scenario.FaultKind.Targets;
import slateseam.simulate.scenario.ScenarioReader.Open;
import slateseam.simulate.scenario.ScenarioReader.Scripted;
import slateseam.simulate.scenario.Schema.Often;

/** Checks what no single line shows: what is missing, and what does not fit together. */
final class ScenarioChecker {
    private static final int MOST_SITES = 16;
    private static final Set<String> TAKEN = Set.of("router", "origin", "discovery", "user");

    private final Complaints complaints;
    private final List<Open> sections;
    private final List<Scripted> script;
    private final Map<String, Integer> kept;
    private final int lastLine;

    ScenarioChecker(
            Complaints complaints,
            List<Open> sections,
            List<Scripted> script,
            Map<String, Integer> kept,
            int lastLine) {
        this.complaints = complaints;
        this.sections = sections;
        this.script = script;
        this.kept = kept;
        this.lastLine = lastLine;
    }

    void check() {
        for (Schema.Type type : Schema.all()) {
            long there = sections.stream()
                    .filter(open -> open.type.type().equals(type.type()))
                    .count();
            if (there == 0 && (type.often() == Often.ONCE || type.often() == Often.NAMED)) {
                complaints.add(
                        lastLine,
                        "there is no section [" + type.type() + (type.often() == Often.NAMED ? " NAME]" : "]") + ", "
                                + type.meaning());
            } else if (there > type.most() && type.often() == Often.NAMED) {
                complaints.add(
                        lastLine,
                        "there are " + there + " sections [" + type.type() + "]; " + type.most() + " are the most");
            }
        }
        sections.forEach(this::complete);
        sections.forEach(this::fitting);
        classShares();
        machines();
    }

    private void complete(Open section) {
        for (Name name : section.type.names()) {
            if (name.usual() == null && !section.lines.containsKey(name.word())) {
                complaints.add(
                        section.line,
                        section.section().heading() + " lacks " + name.word() + ", "
                                + name.meaning()
                                + (name.form() == Name.Form.FIGURE
                                        ? " (" + name.limits() + ")"
                                        : name.words().isEmpty() ? "" : " (" + String.join(", ", name.words()) + ")"));
            }
        }
    }

    private void fitting(Open section) {
        switch (section.type.type()) {
            case "sites" -> {
                if (section.values.get("names") instanceof Value.Names names
                        && names.names().size() > MOST_SITES) {
                    complaints.add(
                            section.line("names"), "there are " + names.names().size() + " sites; 16 are the most");
                }
            }
            case "class" -> requestClass(section);
            case "servers" -> {
                if (TAKEN.contains(section.name)) {
                    complaints.add(
                            section.line,
                            "servers cannot be named " + section.name
                                    + ", as other machines are; name the kind of machine, as in [servers big]");
                }
            }
            default -> {}
        }
    }

    private void requestClass(Open section) {
        if (section.values.get("aim") instanceof Value.Range aim
                && section.values.get("deadline") instanceof Value.Range deadline
                && aim.most() > deadline.least()) {
            complaints.add(
                    section.line("aim"), "aim is " + aim + ", which may be later than the deadline, " + deadline);
        }
        if (section.values.get("effect") instanceof Value.Choice effect) {
            boolean keyed = effect.words().contains("keyed");
            if (effect.words().size() > 1) {
                complaints.add(section.line("effect"), "effect is " + effect + ": it must be one word");
            } else if (keyed && !section.lines.containsKey("window")) {
                complaints.add(
                        section.line,
                        section.section().heading() + " lacks window, for how long repeats are dropped, as in 4 s");
            } else if (!keyed && section.lines.containsKey("window")) {
                complaints.add(section.line("window"), "window is for keyed classes, but effect is " + effect);
            }
        }
    }

    private void classShares() {
        List<Open> classes = sections.stream()
                .filter(open -> open.type.type().equals("class"))
                .toList();
        if (!classes.isEmpty()
                && classes.stream()
                        .allMatch(open -> open.values.get("share") instanceof Value.Range share && share.low() <= 0)) {
            complaints.add(classes.get(0).line("share"), "the shares of all classes may be 0; one must be over 0 %");
        }
    }

    /** How many machines of a kind there are at least and at most; null where that cannot be told. */
    private Value.Range number(Open section, String word) {
        return section.values.get(word) instanceof Value.Range number ? number : null;
    }

    private void machines() {
        Map<String, Value.Range> numbers = new TreeMap<>();
        Value.Range routers = null;
        boolean unsure = false;
        for (Open section : sections) {
            if (section.type.type().equals("servers")) {
                unsure |= number(section, "number") == null || TAKEN.contains(section.name);
                numbers.put(section.name, number(section, "number"));
            } else if (section.type.type().equals("routers")) {
                routers = number(section, "number");
            }
        }
        unsure |= routers == null || numbers.isEmpty();
        numbers.put("router", routers);
        numbers.put("discovery", routers);
        if (unsure) {
            return; // that is told already, and whether a machine exists cannot be
        }
        Value.Range each = sections.stream()
                .filter(open -> open.type.type().equals("user-agents"))
                .map(open -> (Value.Range) Drawn.value(open.section(), "beside-each"))
                .findFirst()
                .orElse(new Value.Range(1, 1, Unit.COUNT));
        numbers.put("user", new Value.Range(routers.low() * each.low(), routers.high() * each.high(), Unit.COUNT));
        kept.forEach((name, line) -> exists(line, name, Set.of("user"), numbers));
        for (Open section : sections) {
            if (section.values.get("without") instanceof Value.Names names) {
                names.names().forEach(name -> exists(section.line("without"), name, numbers.keySet(), numbers));
            }
        }
        Value.Range duration = sections.stream()
                .filter(open -> open.type.type().equals("day"))
                .map(open -> number(open, "duration"))
                .filter(Objects::nonNull)
                .findFirst()
                .orElse(null);
        script.forEach(scripted -> scripted(scripted, duration, numbers));
    }

    private void scripted(Scripted scripted, Value.Range duration, Map<String, Value.Range> numbers) {
        Fault fault = scripted.fault();
        if (duration != null && fault.at() > duration.least()) {
            complaints.add(
                    scripted.line(),
                    fault.kind().word() + " begins at " + fault.at() / 1e9 + " s, but the day may end at "
                            + duration.least() / 1e9 + " s");
        }
        if (fault instanceof Fault.Cued cued) {
            exists(scripted.line(), cued.cue().router(), Set.of("router"), numbers);
        }
        Targets targets = fault.kind().targets();
        Set<String> kinds = new TreeSet<>(numbers.keySet());
        kinds.add("origin");
        if (targets == Targets.SERVERS) {
            kinds.removeAll(TAKEN);
        } else if (targets == Targets.ROUTERS || targets == Targets.ROUTER_PAIRS) {
            kinds.retainAll(Set.of("router"));
        } else if (targets == Targets.RUDE) {
            return;
        }
        for (String target : fault.targets()) {
            for (String machine : target.split("~", -1)) {
                exists(scripted.line(), machine, kinds, numbers);
            }
        }
    }

    /** Tells of a machine that is none of some kinds, or that some seeds do not have. */
    private void exists(int line, String machine, Set<String> kinds, Map<String, Value.Range> numbers) {
        int dash = machine.lastIndexOf('-');
        String kind = dash < 0 ? machine : machine.substring(0, dash);
        if (machine.equals("origin") && kinds.contains("origin")) {
            return;
        }
        if (dash < 0 || !kinds.contains(kind) || !numbers.containsKey(kind)) {
            complaints.add(
                    line,
                    "there is no machine " + machine + " for that; there are "
                            + kinds.stream()
                                    .sorted()
                                    .map(k -> k.equals("origin")
                                            ? k
                                            : k + "-1 to " + k + "-"
                                                    + (int) numbers.get(k).low())
                                    .toList());
            return;
        }
        String digits = machine.substring(dash + 1);
        int number = digits.matches("[1-9][0-9]{0,6}") ? Integer.parseInt(digits) : -1;
        Value.Range there = numbers.get(kind);
        if (number < 1 || number > there.low()) {
            complaints.add(
                    line,
                    "there is no machine " + machine + (number >= 1 && number <= there.high() ? " on each day" : "")
                            + "; the number is " + there + ", counted from " + kind + "-1");
        }
    }
}
