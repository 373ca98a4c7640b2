package slateseam.decision;

/** Spreads keys that are asked for very often over several cache servers. */
final class HotKeys {
    /** Reads of a key that are chance. */
    static final int FEW = 3;
    /** Of a fair share of all reads: from there on a key is spread. */
    private static final double HOT_SHARE = 0.3;
    /** The part of reads that miss at which copies are void. */
    private static final double HOT_MISSES = 0.25;
    /** Of the counts an interval, so that they span some 20 s. */
    private static final double FADE = 0.987;

    final KeyCounts counts = new KeyCounts();
    private final DecisionContext context;

    HotKeys(DecisionContext context) {
        this.context = context;
    }

    /** Guards against a hot key overloading its cache by copies; fewer the more reads find them void. */
    long replicaOf(long key, int readyCaches) {
        counts.read(key);
        double fairShares = counts.share(key) * readyCaches;
        if (fairShares < HOT_SHARE || counts.pooledReads(key) < FEW) {
            return key;
        }
        double kept = Math.max(0, 1 - counts.missedPart(key) / HOT_MISSES);
        int copies = 1 + (int) Math.min(kept * fairShares / HOT_SHARE, readyCaches - 1);
        int copy = context.random.nextInt(copies);
        return copy == 0 ? key : JumpHash.mix(key + copy);
    }

    /** Whether the key is read so often that it may be slow for its own sake. */
    boolean isPopular(long key) {
        return counts.reads(key) >= FEW;
    }

    void endInterval() {
        counts.fade(FADE);
    }
}
