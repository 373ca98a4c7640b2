package slateseam.simulate.scenario;

import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

/** The units in which a scenario file writes figures. */
public enum Unit {
    /** Without a unit: a whole number of things. */
    COUNT("", Measure.COUNT, 1),
    /** Without a unit: any number. */
    FACTOR("", Measure.FACTOR, 1),
    /** Microseconds. */
    MICROS("us", Measure.TIME, 1e3),
    /** Milliseconds. */
    MILLIS("ms", Measure.TIME, 1e6),
    /** Seconds. */
    SECONDS("s", Measure.TIME, 1e9),
    /** Minutes. */
    MINUTES("min", Measure.TIME, 60e9),
    /** Hundredths. */
    PERCENT("%", Measure.SHARE, 0.01),
    /** So many a second. */
    A_SECOND("/s", Measure.RATE, 1),
    /** Bytes. */
    BYTES("B", Measure.SIZE, 1),
    /** 1,024 bytes. */
    KIBIBYTES("KiB", Measure.SIZE, 1024),
    /** 1,024 KiB. */
    MEBIBYTES("MiB", Measure.SIZE, 1024 * 1024);

    /** What a figure measures; its basic unit is nanoseconds, a part of one, so many a second, or bytes. */
    public enum Measure {
        COUNT,
        FACTOR,
        TIME,
        SHARE,
        RATE,
        SIZE
    }

    private final String word;
    private final Measure measure;
    private final double scale;

    Unit(String word, Measure measure, double scale) {
        this.word = word;
        this.measure = measure;
        this.scale = scale;
    }

    /** As it is written behind a figure; empty where none is. */
    public String word() {
        return word;
    }

    /** What it measures. */
    public Measure measure() {
        return measure;
    }

    /** How many basic units it is. */
    public double scale() {
        return scale;
    }

    /** The units of a measure, the one that is shown as an example first. */
    static List<Unit> of(Measure measure) {
        return Arrays.stream(values()).filter(unit -> unit.measure == measure).toList();
    }

    /** The words of a measure's units, for a message. */
    static String words(Measure measure) {
        return of(measure).stream().map(Unit::word).collect(Collectors.joining(", "));
    }

    /** The unit of this word for a measure; null if there is none. */
    static Unit find(String word, Measure measure) {
        return of(measure).stream()
                .filter(unit -> unit.word.equals(word))
                .findFirst()
                .orElse(null);
    }
}
