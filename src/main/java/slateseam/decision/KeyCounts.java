package slateseam.decision;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counts the reads and misses of each key at this router, and holds the read counts reported by its ring neighbours.
 * All counts decay exponentially; keys that have not been read recently are dropped.
 */
final class KeyCounts {
    /** The decayed count of reads below which a key is dropped. */
    private static final double MIN_READS = 0.5;
    /** The largest number of keys counted at a time; while it is reached, further keys are not counted. */
    static final int MOST_KEYS = 8 * 1024;
    /**
     * The limit in place of {@link #MIN_READS} while the table is more than half full: drops keys that were read only
     * once.
     */
    private static final double MIN_READS_WHEN_CROWDED = 1;
    /**
     * The key under which the reads of all keys are reported. No request has it: 0 stands for a request without a key.
     */
    private static final long ALL_KEYS = 0;

    private static final class Count {
        double reads;
        double misses;
    }

    /** The counts of this router by key. */
    private final Map<Long, Count> own = new HashMap<>();
    /** The read counts last reported by each ring neighbour: by router number, then by key. */
    private final Map<Integer, Map<Long, Double>> readsByNeighbour = new LinkedHashMap<>();
    /** The decayed number of all reads at this router; starts at 1 because shares are divided by it. */
    private double total = 1;

    /** Counts a read of a key. */
    void read(long key) {
        Count count = own.get(key);
        if (count == null && own.size() < MOST_KEYS) {
            own.put(key, count = new Count());
        }
        if (count != null) {
            count.reads++;
        }
        total++;
    }

    /** Counts a miss of a key whose read was counted before. */
    void missed(long key) {
        Count count = own.get(key);
        if (count != null) {
            count.misses++;
        }
    }

    /** Returns the decayed number of reads of the key at this router. */
    double reads(long key) {
        Count count = own.get(key);
        return count == null ? 0 : count.reads;
    }

    /** Returns the decayed number of reads of the key at this router and, as reported, at its ring neighbours. */
    double pooledReads(long key) {
        return reads(key) + neighbourReads(key);
    }

    /** Returns the fraction of all reads, at this router and its ring neighbours, that are for the key. */
    double share(long key) {
        return pooledReads(key) / (total + neighbourReads(ALL_KEYS));
    }

    /** Returns the fraction of this router's reads of the key that missed. */
    double missFraction(long key) {
        Count count = own.get(key);
        return count == null ? 0 : count.misses / count.reads;
    }

    /** Multiplies every count by a factor below 1 and drops the keys that have become rare. */
    void fade(double factor) {
        total = 1 + total * factor;
        own.values().forEach(count -> {
            count.reads *= factor;
            count.misses *= factor;
        });
        // A client that reads only new keys must not fill the table, so that there is room for popular keys.
        double minReads = own.size() > MOST_KEYS / 2 ? MIN_READS_WHEN_CROWDED : MIN_READS;
        own.values().removeIf(count -> count.reads < minReads);
        readsByNeighbour.values().forEach(reads -> reads.replaceAll((key, count) -> count * factor));
    }

    /** Replaces the counts of a ring neighbour. An empty map, from a message without room for keys, changes nothing. */
    void hear(int from, Map<Long, Double> reads) {
        if (!reads.isEmpty()) {
            readsByNeighbour.put(from, new HashMap<>(reads));
        }
    }

    /**
     * Returns the counts to report to a ring neighbour: the reads of all keys under key 0, then those of the most
     * popular keys in descending order. They include a fraction of the counts reported by the other neighbour.
     *
     * @param to the router to report to; its own counts are left out
     * @param entries the largest number of entries
     * @param relayFactor the factor for the counts of the other neighbour
     */
    Map<Long, Double> tell(int to, int entries, double relayFactor) {
        if (entries <= 0) {
            return Map.of();
        }
        Map<Long, Double> reads = new HashMap<>();
        own.forEach((key, count) -> reads.put(key, count.reads));
        reads.put(ALL_KEYS, total);
        readsByNeighbour.forEach((from, counts) -> {
            if (from != to) {
                counts.forEach((key, count) -> reads.merge(key, relayFactor * count, Double::sum));
            }
        });
        double all = reads.remove(ALL_KEYS);
        Map<Long, Double> reported = new LinkedHashMap<>();
        reported.put(ALL_KEYS, all);
        Comparator<Map.Entry<Long, Double>> byReads = Map.Entry.comparingByValue(Comparator.reverseOrder());
        reads.entrySet().stream()
                .filter(e -> e.getValue() >= 1)
                .sorted(byReads.thenComparing(Map.Entry::getKey))
                .limit(entries - 1)
                .forEach(e -> reported.put(e.getKey(), e.getValue()));
        return reported;
    }

    /** Returns the reads of the key that the ring neighbours have reported. */
    private double neighbourReads(long key) {
        double reads = 0;
        for (Map<Long, Double> counts : readsByNeighbour.values()) {
            reads += counts.getOrDefault(key, 0.0);
        }
        return reads;
    }
}
