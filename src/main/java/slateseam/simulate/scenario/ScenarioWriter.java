package slateseam.simulate.scenario;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/** Writes a scenario as a file from which the same scenario is read again. */
public final class ScenarioWriter {
    private static final int LINE = 100;

    private ScenarioWriter() {}

    /** The file's text. */
    public static String write(Scenario scenario) {
        StringBuilder text = new StringBuilder();
        for (Section section : scenario.sections()) {
            heading(text, section.heading());
            section.values().forEach((word, value) -> names(text, word, value));
        }
        if (!scenario.script().isEmpty()) {
            heading(text, "[script]");
            scenario.script().forEach(fault -> text.append(fault).append('\n'));
        }
        if (scenario.kept() != null) {
            heading(text, "[requests]");
            scenario.kept().numbers().forEach((userAgent, numbers) -> numbers(text, userAgent, numbers));
        }
        return text.toString();
    }

    private static void heading(StringBuilder text, String heading) {
        text.append(text.length() == 0 ? "" : "\n").append(heading).append('\n');
    }

    /** Long rows of names are written on several lines, so that none becomes too long to be read again. */
    private static void names(StringBuilder text, String word, Value value) {
        if (value instanceof Value.Names names) {
            row(text, word, names.names());
        } else {
            text.append(word).append(' ').append(value).append('\n');
        }
    }

    private static void numbers(StringBuilder text, String userAgent, BitSet numbers) {
        List<String> runs = new ArrayList<>();
        for (int from = numbers.nextSetBit(0); from >= 0; ) {
            int to = numbers.nextClearBit(from) - 1;
            runs.add(from == to ? Integer.toString(from) : from + ".." + to);
            from = numbers.nextSetBit(to + 1);
        }
        row(text, userAgent, runs);
    }

    private static void row(StringBuilder text, String word, List<String> items) {
        int begin = text.length();
        text.append(word);
        for (String item : items) {
            if (text.length() - begin > LINE) {
                text.append('\n');
                begin = text.length();
                text.append(word);
            }
            text.append(' ').append(item);
        }
        text.append('\n');
    }
}
