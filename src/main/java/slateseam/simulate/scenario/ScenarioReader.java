package slateseam.simulate.scenario;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import slateseam.simulate.scenario.Name.Form;
import slateseam.simulate.scenario.Schema.Often;
import slateseam.simulate.scenario.ValueParser.FaultyValueException;

/**
 * Reads the lines of one file. What is wrong with a line is told and the line passed over, so that all faults are told.
 */
final class ScenarioReader {
    static final int MOST_LINES = 10_000;
    static final int LONGEST_LINE = 4_000;
    private static final Pattern COMMENT = Pattern.compile("(^|\\s)#.*");
    private static final Pattern HEADING = Pattern.compile("\\[\\s*(\\S+)(?:\\s+(\\S+))?\\s*]");
    private static final Pattern RUN = Pattern.compile("([0-9]{1,7})(?:\\.\\.([0-9]{1,7}))?");

    /** A section while it is read. */
    static final class Open {
        final Schema.Type type;
        final String name;
        final int line;
        final Map<String, Value> values = new LinkedHashMap<>();
        final Map<String, Integer> lines = new LinkedHashMap<>();

        Open(Schema.Type type, String name, int line) {
            this.type = type;
            this.name = name;
            this.line = line;
        }

        Section section() {
            return new Section(type.type(), name, values);
        }

        /** Where a value stands, or else the heading. */
        int line(String word) {
            return lines.getOrDefault(word, line);
        }
    }

    /** A scripted fault and where it stands. */
    record Scripted(Fault fault, int line) {}

    /** What a heading begins. */
    private enum Part {
        NONE,
        UNKNOWN,
        FIGURES,
        SCRIPT,
        REQUESTS
    }

    private final Complaints complaints;
    private final List<Open> sections = new ArrayList<>();
    private final List<Scripted> script = new ArrayList<>();
    private final Map<String, BitSet> kept = new TreeMap<>();
    private final Map<String, Integer> keptLines = new LinkedHashMap<>();
    private final Map<String, Integer> headings = new LinkedHashMap<>();
    private Part part = Part.NONE;
    private int line;

    ScenarioReader(Complaints complaints) {
        this.complaints = complaints;
    }

    Scenario read(String text) throws InvalidScenarioException {
        List<String> lines =
                (text.startsWith("\ufeff") ? text.substring(1) : text).lines().toList();
        int statements = 0;
        for (String written : lines) {
            line++;
            if (line > MOST_LINES) {
                complaint("the file has over 10,000 lines; what lies behind is not read");
                break;
            }
            if (written.length() > LONGEST_LINE) {
                complaint("the line has " + written.length() + " characters; 4,000 are the most");
                continue;
            }
            String statement = COMMENT.matcher(written).replaceFirst("").strip();
            if (!statement.isEmpty()) {
                statements++;
                take(statement);
            }
        }
        if (statements == 0) {
            complaints.add(
                    1,
                    "the file is empty; it needs at least "
                            + Schema.all().stream()
                                    .filter(t -> t.often() == Often.ONCE || t.often() == Often.NAMED)
                                    .map(t -> "[" + t.type() + (t.often() == Often.NAMED ? " NAME]" : "]"))
                                    .toList());
            complaints.throwIfAny();
        }
        new ScenarioChecker(complaints, sections, script, keptLines, Math.max(1, Math.min(line, MOST_LINES))).check();
        complaints.throwIfAny();
        return new Scenario(
                sections.stream().map(Open::section).toList(),
                script.stream().map(Scripted::fault).toList(),
                headings.containsKey(Schema.REQUESTS) ? new Kept(kept) : null);
    }

    private void complaint(String text) {
        complaints.add(line, text);
    }

    private void take(String statement) {
        if (statement.startsWith("[")) {
            heading(statement);
            return;
        }
        switch (part) {
            case NONE -> {
                complaint("a statement must stand in a section; a heading such as [day] comes first");
                part = Part.UNKNOWN; // the fault of all lines up to the first heading is told once
            }
            case FIGURES -> value(statement);
            case SCRIPT -> scripted(statement);
            case REQUESTS -> requests(statement);
            case UNKNOWN -> {}
        }
    }

    private void heading(String statement) {
        part = Part.UNKNOWN;
        Matcher matcher = HEADING.matcher(statement);
        if (!matcher.matches()) {
            complaint(statement + " is no heading; one is [TYPE] or [TYPE NAME]");
            return;
        }
        String word = matcher.group(1);
        String name = matcher.group(2) == null ? "" : matcher.group(2);
        Schema.Type type = Schema.find(word);
        boolean named = type != null && (type.often() == Often.NAMED || type.often() == Often.FAULTS);
        if (!Schema.words().contains(word)) {
            complaint("there is no section [" + word + "]" + Nearest.hint(word, Schema.words()));
        } else if (named == name.isEmpty()) {
            complaint(
                    named
                            ? "[" + word + "] needs a name, as in [" + word
                                    + (type.often() == Often.FAULTS ? " crash]" : " first]")
                            : "[" + word + "] takes no name, but " + name + " stands there");
        } else if (type != null && type.often() == Often.FAULTS && FaultKind.find(name) == null) {
            complaint("there is no fault " + name + Nearest.hint(name, FaultKind.words()));
        } else if (named && !ValueParser.WORD.matcher(name).matches()) {
            complaint(name + " is no name of letters, digits, '_', '.' and '-', 40 at most");
        } else {
            Integer earlier = headings.putIfAbsent((word + " " + name).strip(), line);
            if (earlier != null) {
                complaint("[" + (word + " " + name).strip() + "] stands on line " + earlier
                        + " already; there may be one");
            } else if (type == null) {
                part = word.equals(Schema.SCRIPT) ? Part.SCRIPT : Part.REQUESTS;
            } else {
                part = Part.FIGURES;
                sections.add(
                        new Open(type.often() == Often.FAULTS ? Schema.of(FaultKind.find(name)) : type, name, line));
            }
        }
    }

    private void value(String statement) {
        Open section = sections.get(sections.size() - 1);
        String[] words = statement.split("\\s+", 2);
        String word = words[0];
        Name name = section.type.find(word);
        if (name == null) {
            complaint("there is no " + word + " in " + section.section().heading()
                    + Nearest.hint(word, section.type.words()));
            return;
        }
        Integer earlier = section.lines.putIfAbsent(word, line);
        if (words.length == 1) {
            complaint(word + " has no value");
            return;
        }
        if (earlier != null && name.form() != Form.NAMES) {
            complaint(word + " stands on line " + earlier + " already");
            return;
        }
        try {
            Value value = ValueParser.parse(name, words[1]);
            if (value instanceof Value.Names more) {
                List<String> all = new ArrayList<>(
                        section.values.get(word) instanceof Value.Names first ? first.names() : List.of());
                for (String one : more.names()) {
                    if (all.contains(one)) {
                        complaint(word + " has " + one + " twice");
                    } else {
                        all.add(one);
                    }
                }
                value = new Value.Names(all);
            }
            section.values.put(word, value);
        } catch (FaultyValueException e) {
            complaint(e.getMessage());
        }
    }

    private void scripted(String statement) {
        try {
            script.add(new Scripted(ScriptParser.parse(statement), line));
        } catch (FaultyValueException e) {
            complaint(e.getMessage());
        }
    }

    private void requests(String statement) {
        String[] words = statement.split("\\s+");
        BitSet numbers = kept.computeIfAbsent(words[0], name -> new BitSet());
        keptLines.putIfAbsent(words[0], line);
        if (words.length == 1) {
            complaint(words[0] + " has no numbers of requests, as in 0..17 25");
        }
        for (int i = 1; i < words.length; i++) {
            Matcher matcher = RUN.matcher(words[i]);
            int from = matcher.matches() ? Integer.parseInt(matcher.group(1)) : 1;
            int to = !matcher.matches() ? 0 : matcher.group(2) == null ? from : Integer.parseInt(matcher.group(2));
            if (from > to) {
                complaint(words[i] + " is no number of a request or range of them, as in 25 or 0..17");
            } else {
                numbers.set(from, to + 1);
            }
        }
    }
}
