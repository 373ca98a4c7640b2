package slateseam.decision;

/** Replicates keys that are read very often: spreads the reads of such a key over several cache servers. */
final class HotKeys {
    /** The reads from which a key may be popular; fewer may be chance. */
    static final int MIN_POPULAR_READS = 3;
    /**
     * The reads of a key from which the key is replicated, as a fraction of the reads that an average cache server
     * gets.
     */
    private static final double HOT_SHARE = 0.3;
    /** The fraction of the reads of a key that miss from which replicas bring nothing. */
    private static final double MAX_MISS_FRACTION = 0.25;
    /** The factor by which the counts decay in each interval, so that they cover about 20 s. */
    private static final double DECAY_PER_INTERVAL = 0.987;

    final KeyCounts counts = new KeyCounts();
    private final DecisionContext context;

    HotKeys(DecisionContext context) {
        this.context = context;
    }

    /**
     * Counts a read and returns the key by which the read is placed: the key itself, or for a hot key one of its
     * replicas, drawn at random. Replicas keep a hot key from overloading a single cache server; a key has fewer of
     * them the more of its reads miss.
     */
    long replicaOf(long key, int readyCaches) {
        counts.read(key);
        double fairShares = counts.share(key) * readyCaches;
        if (fairShares < HOT_SHARE || counts.pooledReads(key) < MIN_POPULAR_READS) {
            return key;
        }
        double benefit = Math.max(0, 1 - counts.missFraction(key) / MAX_MISS_FRACTION);
        int replicas = 1 + (int) Math.min(benefit * fairShares / HOT_SHARE, readyCaches - 1);
        int replica = context.random.nextInt(replicas);
        return replica == 0 ? key : JumpHash.mix(key + replica);
    }

    /** Whether the key is read so often that its popularity alone may make its answers slow. */
    boolean isPopular(long key) {
        return counts.reads(key) >= MIN_POPULAR_READS;
    }

    /** Ends an interval: the counts decay. */
    void endInterval() {
        counts.fade(DECAY_PER_INTERVAL);
    }
}
