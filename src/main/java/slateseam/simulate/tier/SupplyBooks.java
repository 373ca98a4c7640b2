package slateseam.simulate.tier;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The books on supply as routers tell them one another, read from the bytes of their messages. */
final class SupplyBooks {
    private static final int VERSION = 3;
    private static final int KNOWN = 2;
    private static final int FROM_AT = 2;
    private static final int FLOW_AT = 22;

    private static final int STARTING = 4;
    private static final int OWN_AT = 26;
    private static final double WHOLE = 1 << 30;

    /** What one router last told another: in which life, whether it holds the pair's ledger, and what has moved by that. */
    record Entry(int life, boolean known, int flow) {}

    private final Map<Long, Entry> last = new HashMap<>();

    /** One router sends another a message of supply; others are passed over. */
    void told(int from, int to, byte[] bytes) {
        if (bytes.length >= FLOW_AT + Integer.BYTES && bytes[0] == VERSION) {
            ByteBuffer b = ByteBuffer.wrap(bytes);
            last.put(pair(from, to), new Entry(b.getInt(FROM_AT), (bytes[1] & KNOWN) != 0, b.getInt(FLOW_AT)));
        }
    }

    /** The part of the budget that a message says its sender owns by its books; null if it says none. */
    static Double own(byte[] bytes) {
        boolean says = bytes.length >= OWN_AT + Integer.BYTES
                && bytes[0] == VERSION
                && (bytes[1] & (KNOWN | STARTING)) == KNOWN;
        return says ? ByteBuffer.wrap(bytes).getInt(OWN_AT) / WHOLE : null;
    }

    /** What the ledger of a pair said, as one end told the other, in parts of the budget; 0 if that end does not hold it. */
    double ledger(int from, int to) {
        Entry entry = last.get(pair(from, to));
        return entry == null || !entry.known() ? 0 : Math.abs(entry.flow()) / WHOLE;
    }

    private static long pair(int from, int to) {
        return (long) from << 32 | to;
    }

    /** Pairs whose ends told books last that differ by more, among those that both have told any. */
    List<String> differences(int most) {
        List<String> found = new ArrayList<>();
        last.forEach((pair, entry) -> {
            int from = (int) (pair >> 32);
            int to = pair.intValue();
            Entry other = last.get(pair(to, from));
            if (from < to
                    && other != null
                    && (!entry.known() || !other.known() || Math.abs(entry.flow() - other.flow()) > most)) {
                found.add(from + " to " + to + ": " + entry + " and " + other);
            }
        });
        return found;
    }

    /** How many pairs of routers have told each other. */
    long pairs() {
        return last.keySet().stream()
                        .filter(pair -> last.containsKey(pair(pair.intValue(), (int) (pair >> 32))))
                        .count()
                / 2;
    }
}
