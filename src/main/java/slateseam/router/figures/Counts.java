package slateseam.router.figures;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/** Gauges and totals that other stages keep; they are asked at each flush, and of a total what it grew by is told. */
public final class Counts {
    private record Gauge(String name, IntSupplier now) {}

    private static final class Total {
        final String name;
        final String tag;
        final String value;
        final LongSupplier now;
        long told;

        Total(String name, String tag, String value, LongSupplier now) {
            this.name = name;
            this.tag = tag;
            this.value = value;
            this.now = now;
        }
    }

    private final List<Gauge> gauges = new ArrayList<>();
    private final List<Total> totals = new ArrayList<>();

    /** Adds a gauge. */
    public Counts gauge(String name, IntSupplier now) {
        gauges.add(new Gauge(name, now));
        return this;
    }

    /** Adds a total that only grows. */
    public Counts total(String name, LongSupplier now) {
        return total(name, null, null, now);
    }

    /** Adds a total that only grows, with a tag. */
    public Counts total(String name, String tag, String value, LongSupplier now) {
        totals.add(new Total(name, tag, value, now));
        return this;
    }

    /** Writes all gauges, and the totals that have grown since {@link #told}. */
    void write(Format format, Consumer<String> to) {
        for (Gauge gauge : gauges) {
            to.accept(format.gauge(gauge.name, gauge.now.getAsInt()));
        }
        for (Total total : totals) {
            long grown = total.now.getAsLong() - total.told;
            if (grown > 0) {
                to.accept(
                        format.counter(total.name, total.tag == null ? "" : format.tag(total.tag, total.value), grown));
            }
        }
    }

    /** All destinations have what was written. */
    void told() {
        totals.forEach(total -> total.told = total.now.getAsLong());
    }
}
