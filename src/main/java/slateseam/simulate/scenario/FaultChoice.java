package slateseam.simulate.scenario;

import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;

/**
 * Which faults are drawn; what a scenario scripts is played in any case.
 *
 * @param only null for as many kinds as the scenario says, out of those that it has figures for; else exactly these,
 *     each at least once; none if empty
 */
public record FaultChoice(Set<FaultKind> only) {
    /** As the scenario says. */
    public static final FaultChoice AS_WRITTEN = new FaultChoice(null);
    /** No drawn fault at all. */
    public static final FaultChoice NONE = new FaultChoice(EnumSet.noneOf(FaultKind.class));

    /**
     * Reads words with commas between them, or {@code none}.
     *
     * @throws IllegalArgumentException in one plain line, if a word is no kind
     */
    public static FaultChoice parse(String text) {
        Set<FaultKind> kinds = EnumSet.noneOf(FaultKind.class);
        if (text.strip().equals("none")) {
            return NONE;
        }
        for (String part : text.split(",", -1)) {
            String word = part.strip().toLowerCase(Locale.ROOT);
            FaultKind kind = FaultKind.find(word);
            if (kind == null) {
                throw new IllegalArgumentException("there is no fault " + (word.isEmpty() ? "without a name" : word)
                        + Nearest.hint(word, FaultKind.words()));
            }
            if (!kind.isDrawn()) {
                throw new IllegalArgumentException(word + " is not drawn; write it into a scenario's script");
            }
            kinds.add(kind);
        }
        return new FaultChoice(kinds);
    }
}
