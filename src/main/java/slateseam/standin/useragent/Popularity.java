package slateseam.standin.useragent;

import java.util.ArrayList;
import java.util.List;

/**
 * Which key is asked for: a Zipf law over ranks, each of which goes to a new key by and by. Ranks are found by a table
 * of starting points, so that a draw takes few steps whatever the number of keys.
 */
public final class Popularity {
    private static final double SECOND = 1e9;

    private final PopularityFigures figures;
    /** For each rank, how probable it and all before it are together. */
    private final double[] sums;
    /** For each of as many even parts, the first rank that reaches into it. */
    private final int[] starts;

    /** Prepares the tables: two numbers for each key. */
    public Popularity(PopularityFigures figures) {
        this.figures = figures;
        this.sums = new double[figures.keys()];
        double sum = 0;
        for (int rank = 0; rank < sums.length; rank++) {
            sum += StrictMath.pow(rank + 1 + figures.offset(), -figures.exponent());
            sums[rank] = sum;
        }
        this.starts = new int[figures.keys()];
        int rank = 0;
        for (int i = 0; i < starts.length; i++) {
            while (rank < sums.length - 1 && sums[rank] / sum <= (double) i / starts.length) {
                rank++;
            }
            starts[i] = rank;
        }
    }

    /** The rank, counted from 0, for a number that was drawn evenly from 0 to below 1. */
    public int rank(double drawn) {
        int rank = starts[(int) (drawn * starts.length)];
        double sought = drawn * sums[sums.length - 1];
        while (rank < sums.length - 1 && sums[rank] <= sought) {
            rank++;
        }
        return rank;
    }

    /** How probable a rank is. */
    public double probability(int rank) {
        return (sums[rank] - (rank == 0 ? 0 : sums[rank - 1])) / sums[sums.length - 1];
    }

    /** The key that has a rank so many nanoseconds after the beginning: 16 hexadecimal digits. */
    public String key(int rank, long nanos) {
        double turns = figures.drift() * nanos / SECOND + Mix.share(figures.salt(), rank);
        return Mix.hex(Mix.of(figures.salt() ^ 0x6b65790000000000L, ((long) turns << 32) + rank));
    }

    /** The keys that are asked for most at a time, the most popular first; no more than there are. */
    public List<String> hottest(int number, long nanos) {
        List<String> keys = new ArrayList<>();
        for (int rank = 0; rank < Math.min(number, sums.length); rank++) {
            keys.add(key(rank, nanos));
        }
        return keys;
    }
}
