package slateseam.simulate.tier;

import java.util.Locale;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.IntStream;

/**
 * How a figure grows with the number of routers: the best of a straight line in that number and a straight line in its binary logarithm,
 * by least squares.
 *
 * @param shape the function of the number of routers that the figure is a line of
 * @param base the figure where that function is 0
 * @param step what it grows by for each 1 of that function
 * @param residual the root of the mean of squared differences, as a part of the figures' mean
 * @param other the line of the other shape; null for that one
 */
record Slope(Shape shape, double base, double step, double residual, Slope other) {
    /** Fewer allow no statement on a fit. */
    private static final int LEAST_SIZES = 4;

    /** What a figure may be a line of. */
    enum Shape {
        /** The number of routers. */
        LINEAR("n", n -> n),
        /** Its binary logarithm. */
        LOGARITHMIC("log2 n", n -> Math.log(n) / Math.log(2));

        private final String text;
        private final DoubleUnaryOperator of;

        Shape(String text, DoubleUnaryOperator of) {
            this.text = text;
            this.of = of;
        }
    }

    /** The text of the best fit through the figures that are there; empty where they are too few. */
    static String text(int[] sizes, double[] figures, int routers) {
        int[] there = IntStream.range(0, sizes.length)
                .filter(i -> !Double.isNaN(figures[i]))
                .toArray();
        return sizes.length < LEAST_SIZES
                ? ""
                : there.length < LEAST_SIZES
                        ? "too few sizes | | | |"
                        : of(
                                                IntStream.of(there)
                                                        .map(i -> sizes[i])
                                                        .toArray(),
                                                IntStream.of(there)
                                                        .mapToDouble(i -> figures[i])
                                                        .toArray())
                                        .text(routers)
                                + " |";
    }

    /** The shape with the smaller residual. */
    static Slope of(int[] sizes, double[] figures) {
        Slope line = of(Shape.LINEAR, sizes, figures);
        Slope logarithm = of(Shape.LOGARITHMIC, sizes, figures);
        return line.residual <= logarithm.residual ? line.or(logarithm) : logarithm.or(line);
    }

    private Slope or(Slope second) {
        return new Slope(shape, base, step, residual, second);
    }

    private static Slope of(Shape shape, int[] sizes, double[] figures) {
        int many = sizes.length;
        double sumX = 0;
        double sumY = 0;
        double sumXx = 0;
        double sumXy = 0;
        for (int i = 0; i < many; i++) {
            double x = shape.of.applyAsDouble(sizes[i]);
            sumX += x;
            sumY += figures[i];
            sumXx += x * x;
            sumXy += x * figures[i];
        }
        double step = (many * sumXy - sumX * sumY) / (many * sumXx - sumX * sumX);
        double base = (sumY - step * sumX) / many;
        double squares = 0;
        for (int i = 0; i < many; i++) {
            double off = figures[i] - base - step * shape.of.applyAsDouble(sizes[i]);
            squares += off * off;
        }
        return new Slope(shape, base, step, sumY == 0 ? 0 : Math.sqrt(squares / many) / Math.abs(sumY / many), null);
    }

    /** What the figure would be at a number of routers. */
    double at(int routers) {
        return base + step * shape.of.applyAsDouble(routers);
    }

    /** The headings of {@link #text(int[], double[], int)}. */
    static String headings(int[] sizes, int routers) {
        return sizes.length < LEAST_SIZES
                ? ""
                : " best fit | residual | at " + routers + " | the other shape: at " + routers + " (residual) |";
    }

    /** Its formula, its residual, what it comes to at a size, and what the other shape would. */
    private String text(int routers) {
        return String.format(
                Locale.ROOT,
                "%.4g %+.4g x %s | %.1f%% | %.4g | %.4g (%.1f%%)",
                base,
                step,
                shape.text,
                100 * residual,
                at(routers),
                other.at(routers),
                100 * other.residual);
    }
}
