package slateseam.simulate.check;

import java.util.Arrays;
import java.util.stream.Collectors;

/**
 * A request as it stands on a wire, whatever the protocol.
 *
 * @param id its id; empty for a probe
 * @param key what it asks for
 * @param facts its list of names and values
 * @param value the value of a write; null for a read
 */
record Passed(String id, String key, String facts, byte[] value) {
    static final Passed PROBE = new Passed("", "", "", null);

    boolean isProbe() {
        return id.isEmpty();
    }

    /** Whether it is the same request, with nothing changed but how long somebody waits. */
    boolean isSame(Passed other) {
        return key.equals(other.key)
                && Arrays.equals(value, other.value)
                && (facts.equals(other.facts) || timeless(facts).equals(timeless(other.facts)));
    }

    private static String timeless(String facts) {
        return Arrays.stream(facts.split(","))
                .filter(fact -> !fact.startsWith("d="))
                .collect(Collectors.joining(","));
    }
}
