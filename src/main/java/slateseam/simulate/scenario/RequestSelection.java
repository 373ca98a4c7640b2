package slateseam.simulate.scenario;

import java.util.BitSet;
import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * Which requests are asked at all, by the name of the user agent and the number of its arrival, counted from 0.
 *
 * @param numbers for each user agent that still asks, the numbers of its arrivals
 */
public record RequestSelection(Map<String, BitSet> numbers) {
    /** Copies the map without empty sets; the sets are not changed afterwards. */
    public RequestSelection {
        Map<String, BitSet> some = new TreeMap<>(numbers);
        some.values().removeIf(BitSet::isEmpty);
        numbers = Collections.unmodifiableMap(some);
    }

    /** Whether an arrival is asked. */
    public boolean keeps(String userAgent, int number) {
        BitSet kept = numbers.get(userAgent);
        return kept != null && kept.get(number);
    }

    /** How many there are. */
    public int size() {
        return numbers.values().stream().mapToInt(BitSet::cardinality).sum();
    }
}
