package slateseam.simulate.scenario;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import slateseam.simulate.scenario.Name.Form;
import slateseam.simulate.scenario.Unit.Measure;

/** Reads what stands behind a name. */
final class ValueParser {
    /** The value cannot be used; the message says why, without file and line. */
    static final class FaultyValueException extends Exception {
        private static final long serialVersionUID = 1L;

        FaultyValueException(String message) {
            super(message);
        }
    }

    /** What names of sites, classes, tenants and machines may look like: they stand in addresses, facts and JSON. */
    static final Pattern WORD = Pattern.compile("[A-Za-z0-9][A-Za-z0-9_.-]{0,39}");

    private static final String NUMBER = "(-?[0-9]{1,18}(?:\\.[0-9]{1,18})?)";
    private static final Pattern FIGURE = Pattern.compile(NUMBER + "(?:\\.\\." + NUMBER + ")?\\s*([^\\s.0-9]\\S*)?");
    private static final Pattern UNIT_TWICE = Pattern.compile(NUMBER + "\\s*[a-zA-Z%/]+\\s*\\.\\..*");

    private ValueParser() {}

    static Value parse(Name name, String text) throws FaultyValueException {
        return switch (name.form()) {
            case FIGURE, FIXED -> range(name, text);
            case CHOICE -> choice(name, text);
            case NAMES -> names(name, text);
        };
    }

    private static Value names(Name name, String text) throws FaultyValueException {
        List<String> names = Arrays.asList(text.split("\\s+"));
        for (String word : names) {
            if (!WORD.matcher(word).matches()) {
                throw new FaultyValueException(
                        name.word() + " has " + word + ", no name of letters, digits, '_', '.' and '-', 40 at most");
            }
        }
        return new Value.Names(names);
    }

    private static Value choice(Name name, String text) throws FaultyValueException {
        List<String> words = new ArrayList<>();
        for (String part : text.split("\\|", -1)) {
            String word = part.strip();
            if (!name.words().contains(word)) {
                throw new FaultyValueException(name.word() + " is " + (word.isEmpty() ? "empty" : word)
                        + ", not one of " + String.join(", ", name.words()));
            }
            if (words.contains(word)) {
                throw new FaultyValueException(name.word() + " has " + word + " twice");
            }
            words.add(word);
        }
        return new Value.Choice(words);
    }

    private static Value range(Name name, String text) throws FaultyValueException {
        Value.Range range = range(name.word(), name.measure(), text);
        if (name.form() == Form.FIXED && range.low() != range.high()) {
            throw new FaultyValueException(name.word() + " is " + text + ": it must be one number, not a range");
        }
        check(name.word(), range, name.least(), name.most(), name.limits());
        return range;
    }

    /** A figure of a measure, whose limits are still to be checked. */
    static Value.Range range(String word, Measure measure, String text) throws FaultyValueException {
        Matcher matcher = FIGURE.matcher(text);
        if (!matcher.matches()) {
            throw new FaultyValueException(word + " is " + text + ": "
                    + (UNIT_TWICE.matcher(text).matches()
                            ? "the unit stands once, behind the range, as in 10..20 " + example(measure)
                            : "it must be a figure or a range, as in " + ("5 " + example(measure)).strip() + " or "
                                    + ("5..8 " + example(measure)).strip()));
        }
        Unit unit = unit(word, measure, text, matcher.group(3) == null ? "" : matcher.group(3));
        double low = Double.parseDouble(matcher.group(1));
        double high = matcher.group(2) == null ? low : Double.parseDouble(matcher.group(2));
        if (low > high) {
            throw new FaultyValueException(word + " is " + text + ": the low end " + Value.Range.plain(low)
                    + " is over the high end " + Value.Range.plain(high));
        }
        if (measure == Measure.COUNT && (low != Math.rint(low) || high != Math.rint(high))) {
            throw new FaultyValueException(word + " is " + text + ": it must be a whole number");
        }
        return new Value.Range(low, high, unit);
    }

    private static Unit unit(String word, Measure measure, String text, String written) throws FaultyValueException {
        Unit unit = Unit.find(written, measure);
        if (unit == null) {
            boolean needed = measure != Measure.COUNT && measure != Measure.FACTOR;
            throw new FaultyValueException(word + " is " + text + ": "
                    + (!needed
                            ? "it takes no unit, but " + written + " stands behind it"
                            : written.isEmpty()
                                    ? "it needs a unit (" + Unit.words(measure) + "), as in " + text + " "
                                            + example(measure)
                                    : "there is no unit " + written + " for it; there are " + Unit.words(measure)));
        }
        return unit;
    }

    static void check(String word, Value.Range range, double least, double most, String limits)
            throws FaultyValueException {
        // Guards against the last binary digit of a conversion: 19 % is to lie within 0..19 %.
        double slack = 1e-9 * Math.max(1, Math.abs(most));
        if (range.least() < least - Math.min(slack, least / 2) || range.most() > most + slack) {
            throw new FaultyValueException(word + " is " + range + ", not within " + limits);
        }
    }

    private static String example(Measure measure) {
        return measure == Measure.TIME
                ? "ms"
                : measure == Measure.SIZE ? "KiB" : Unit.of(measure).get(0).word();
    }
}
