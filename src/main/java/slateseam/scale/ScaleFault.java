package slateseam.scale;

import java.util.Arrays;
import java.util.Locale;
import java.util.stream.Collectors;

/** What goes wrong in a phase of a run. */
enum ScaleFault {
    /** One in a hundred hollow routers is killed and starts again, spread over the phase. */
    RESTARTS,
    /** A group of hollow routers, as many as a site or a zone has, is killed at once and comes back at the end. */
    GROUP,
    /** The lower half of the numbers and the others hear nothing of each other. */
    HALVES,
    /** A fifth of all datagrams is lost. */
    LOSS,
    /** What one voter sends leaves 0.3 s late. */
    SLOW_VOTER,
    /** Hollow routers end in order and start again, one after another, spread over the phase. */
    REPLACEMENTS;

    String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    static ScaleFault of(String word) {
        return Arrays.stream(values())
                .filter(fault -> fault.word().equals(word))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("there is no fault " + word + ", but " + words()));
    }

    static String words() {
        return Arrays.stream(values()).map(ScaleFault::word).collect(Collectors.joining(", "));
    }
}
