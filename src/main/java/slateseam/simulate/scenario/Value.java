package slateseam.simulate.scenario;

import java.math.BigDecimal;
import java.util.List;

/** What stands behind a name in a scenario file. */
public sealed interface Value {
    /**
     * A figure, or a range of which each seed draws one.
     *
     * @param low the least, in the unit
     * @param high the most, in the unit; the same as low for a fixed figure
     * @param unit the unit that it is written in
     */
    record Range(double low, double high, Unit unit) implements Value {
        /** The least, in the measure's basic unit. */
        double least() {
            return low * unit.scale();
        }

        /** The most, in the measure's basic unit. */
        double most() {
            return high * unit.scale();
        }

        @Override
        public String toString() {
            String figures = low == high ? plain(low) : plain(low) + ".." + plain(high);
            return unit.word().isEmpty() ? figures : figures + " " + unit.word();
        }

        /** A number as the file writes it, from which the same number is read again. */
        static String plain(double number) {
            return new BigDecimal(Double.toString(number)).stripTrailingZeros().toPlainString();
        }
    }

    /** One or more words, of which each seed draws one. */
    record Choice(List<String> words) implements Value {
        /** Copies the list. */
        public Choice {
            words = List.copyOf(words);
        }

        @Override
        public String toString() {
            return String.join(" | ", words);
        }
    }

    /** Names, all of which hold. */
    record Names(List<String> names) implements Value {
        /** Copies the list. */
        public Names {
            names = List.copyOf(names);
        }

        @Override
        public String toString() {
            return String.join(" ", names);
        }
    }
}
