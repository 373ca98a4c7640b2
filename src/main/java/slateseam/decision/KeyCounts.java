package slateseam.decision;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Reads and misses of each key at this router, and the reads that its neighbours tell of. All fade with time;
 * a key not asked for lately is forgotten.
 */
final class KeyCounts {
    private static final double FORGOTTEN = 0.5;
    /** Keys that are counted here at a time; while there are so many, a further one waits until some are forgotten. */
    static final int MOST_KEYS = 8 * 1024;
    /** From half of them on, keys that were read but once are forgotten at the end of the interval. */
    private static final double FORGOTTEN_EARLY = 1;
    /** The key under which the reads of all keys are told; a request without a key is not counted. */
    private static final long ALL = 0;

    private static final class Count {
        double reads;
        double misses;
    }

    private final Map<Long, Count> own = new HashMap<>();
    private final Map<Integer, Map<Long, Double>> heard = new LinkedHashMap<>();
    private double total = 1;

    /** Counts a read. */
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

    /** Counts a miss of a key that was read. */
    void missed(long key) {
        Count count = own.get(key);
        if (count != null) {
            count.misses++;
        }
    }

    /** Reads of the key here. */
    double reads(long key) {
        Count count = own.get(key);
        return count == null ? 0 : count.reads;
    }

    /** Reads of the key here and at the neighbours. */
    double pooledReads(long key) {
        return reads(key) + heardReads(key);
    }

    /** The key's part of all reads, here and at the neighbours. */
    double share(long key) {
        return pooledReads(key) / (total + heardReads(ALL));
    }

    /** The part of this router's reads of the key that missed. */
    double missedPart(long key) {
        Count count = own.get(key);
        return count == null ? 0 : count.misses / count.reads;
    }

    /** Keeps this part of every count. */
    void fade(double part) {
        total = 1 + total * part;
        own.values().forEach(count -> {
            count.reads *= part;
            count.misses *= part;
        });
        // Guards against one that asks for new keys only: popular ones must find a place.
        double least = own.size() > MOST_KEYS / 2 ? FORGOTTEN_EARLY : FORGOTTEN;
        own.values().removeIf(count -> count.reads < least);
        heard.values().forEach(reads -> reads.replaceAll((key, count) -> count * part));
    }

    /** Takes what a neighbour tells in place of what it told before; a message without room for keys tells nothing of them. */
    void hear(int from, Map<Long, Double> reads) {
        if (!reads.isEmpty()) {
            heard.put(from, new HashMap<>(reads));
        }
    }

    /**
     * What to tell a neighbour, in so many entries: the reads of all keys, then those of the most popular ones.
     * A part of what the other neighbour tells is passed on.
     */
    Map<Long, Double> tell(int to, int entries, double passedOn) {
        if (entries <= 0) {
            return Map.of();
        }
        Map<Long, Double> reads = new HashMap<>();
        own.forEach((key, count) -> reads.put(key, count.reads));
        reads.put(ALL, total);
        heard.forEach((from, theirs) -> {
            if (from != to) {
                theirs.forEach((key, count) -> reads.merge(key, passedOn * count, Double::sum));
            }
        });
        double all = reads.remove(ALL);
        Map<Long, Double> told = new LinkedHashMap<>();
        told.put(ALL, all);
        Comparator<Map.Entry<Long, Double>> most = Map.Entry.comparingByValue(Comparator.reverseOrder());
        reads.entrySet().stream()
                .filter(e -> e.getValue() >= 1)
                .sorted(most.thenComparing(Map.Entry::getKey))
                .limit(entries - 1)
                .forEach(e -> told.put(e.getKey(), e.getValue()));
        return told;
    }

    /** Reads of the key that the neighbours tell of. */
    private double heardReads(long key) {
        double reads = 0;
        for (Map<Long, Double> theirs : heard.values()) {
            reads += theirs.getOrDefault(key, 0.0);
        }
        return reads;
    }
}
