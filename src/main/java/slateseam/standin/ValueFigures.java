package slateseam.standin;

/**
 * How large values are. The size belongs to the key.
 *
 * @param medianBytes 1 to 65,536
 * @param sigma of the logarithm, 0 to 3
 * @param mostBytes 1 to 65,536; larger ones are cut to that
 */
public record ValueFigures(int medianBytes, double sigma, int mostBytes) {
    private static final int LIMIT = 65_536;

    /** Checks the figures. */
    public ValueFigures {
        Range.check("median size of values", medianBytes, 1, LIMIT);
        Range.check("sigma of sizes", sigma, 0, 3);
        Range.check("largest size of values", mostBytes, 1, LIMIT);
    }

    /** Some 1.5 KB, a few ten times that. */
    public static ValueFigures usual() {
        return new ValueFigures(1_500, 0.6, LIMIT);
    }
}
