package slateseam.simulate.scenario;

import java.util.List;

/**
 * A name that a section of a scenario file may hold.
 *
 * @param word the name
 * @param form what stands behind it
 * @param measure what a figure measures; null for words
 * @param least the least figure, in the measure's basic unit
 * @param most the greatest figure, in the measure's basic unit
 * @param usual the value where the name is not written; null if it must be
 * @param words the words that may stand there; empty for other forms
 * @param meaning one line for the operators' page
 */
record Name(
        String word,
        Form form,
        Unit.Measure measure,
        double least,
        double most,
        String usual,
        List<String> words,
        String meaning) {
    /** The forms of values. */
    enum Form {
        FIGURE,
        FIXED,
        CHOICE,
        NAMES
    }

    private static final double NANOS = 1e9;

    /** A time within limits in seconds. */
    static Name time(String word, double least, double most, String usual, String meaning) {
        return new Name(word, Form.FIGURE, Unit.Measure.TIME, least * NANOS, most * NANOS, usual, List.of(), meaning);
    }

    /** A part of something, within limits in per cent. */
    static Name share(String word, double least, double most, String usual, String meaning) {
        return new Name(word, Form.FIGURE, Unit.Measure.SHARE, least / 100, most / 100, usual, List.of(), meaning);
    }

    /** A whole number. */
    static Name count(String word, double least, double most, String usual, String meaning) {
        return new Name(word, Form.FIGURE, Unit.Measure.COUNT, least, most, usual, List.of(), meaning);
    }

    /** A whole number that is the same for all seeds. */
    static Name fixed(String word, double least, double most, String usual, String meaning) {
        return new Name(word, Form.FIXED, Unit.Measure.COUNT, least, most, usual, List.of(), meaning);
    }

    /** A number. */
    static Name factor(String word, double least, double most, String usual, String meaning) {
        return new Name(word, Form.FIGURE, Unit.Measure.FACTOR, least, most, usual, List.of(), meaning);
    }

    /** So many a second. */
    static Name rate(String word, double least, double most, String usual, String meaning) {
        return new Name(word, Form.FIGURE, Unit.Measure.RATE, least, most, usual, List.of(), meaning);
    }

    /** A size, within limits in KiB. */
    static Name size(String word, double least, double most, String usual, String meaning) {
        return new Name(word, Form.FIGURE, Unit.Measure.SIZE, least * 1024, most * 1024, usual, List.of(), meaning);
    }

    /** One of some words. */
    static Name choice(String word, List<String> words, String usual, String meaning) {
        return new Name(word, Form.CHOICE, null, 0, 0, usual, words, meaning);
    }

    /** Names of things, as many as there are. */
    static Name names(String word, String usual, String meaning) {
        return new Name(word, Form.NAMES, null, 0, 0, usual, List.of(), meaning);
    }

    /** The limits as a message writes them. */
    String limits() {
        Unit unit = measure == Unit.Measure.TIME
                ? most < 1e9 ? Unit.MILLIS : Unit.SECONDS
                : measure != Unit.Measure.SIZE
                        ? Unit.of(measure).get(0)
                        : least >= Unit.MEBIBYTES.scale() ? Unit.MEBIBYTES : Unit.KIBIBYTES;
        return new Value.Range(round(least / unit.scale()), round(most / unit.scale()), unit).toString();
    }

    /** Guards the message against the last binary digit of a conversion. */
    private static double round(double number) {
        return number > 1e9 ? number : Math.round(number * 1e6) / 1e6;
    }
}
