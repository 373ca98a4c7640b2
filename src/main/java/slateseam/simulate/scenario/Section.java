package slateseam.simulate.scenario;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A section of a scenario.
 *
 * @param type its heading's first word
 * @param name its heading's second word; empty where the heading has none
 * @param values what it sets, in the order of the file
 */
public record Section(String type, String name, Map<String, Value> values) {
    /** Copies the map. */
    public Section {
        values = Collections.unmodifiableMap(new LinkedHashMap<>(values));
    }

    /** What stands behind a name; null if the section does not set it. */
    public Value value(String word) {
        return values.get(word);
    }

    /** The same with one value set or replaced. */
    Section with(String word, Value value) {
        Map<String, Value> changed = new LinkedHashMap<>(values);
        changed.put(word, value);
        return new Section(type, name, changed);
    }

    /** The same without one value. */
    Section without(String word) {
        Map<String, Value> changed = new LinkedHashMap<>(values);
        changed.remove(word);
        return new Section(type, name, changed);
    }

    /** The heading as the file writes it. */
    String heading() {
        return "[" + type + (name.isEmpty() ? "" : " " + name) + "]";
    }
}
