package slateseam.simulate.scenario;

import java.util.List;
import slateseam.simulate.scenario.ValueParser.FaultyValueException;

/**
 * The figures that one actor draws of a section. Each draw follows from the seed, the actor's name and the figure's
 * name alone: a figure that is fixed, added or left out shifts no other.
 */
final class Drawn {
    private final Section section;
    private final Streams streams;
    private final String actor;

    Drawn(Section section, Streams streams, String actor) {
        this.section = section;
        this.streams = streams;
        this.actor = actor;
    }

    /** The same section as another actor draws it. */
    Drawn as(String other) {
        return new Drawn(section, streams, other);
    }

    /** What a section sets, or the usual value; null where there is neither. */
    static Value value(Section section, String word) {
        Name name = Schema.of(section).find(word);
        if (section.value(word) != null || name.usual() == null || name.usual().isEmpty()) {
            return section.value(word);
        }
        try {
            return ValueParser.parse(name, name.usual());
        } catch (FaultyValueException e) {
            throw new IllegalStateException(e);
        }
    }

    boolean has(String word) {
        return value(section, word) != null;
    }

    /** The range of a figure. */
    Value.Range range(String word) {
        return (Value.Range) value(section, word);
    }

    /** A figure in the basic unit of its measure. */
    double figure(String word) {
        Value.Range range = range(word);
        double share = streams.share(actor + " " + word);
        return range.unit() == Unit.COUNT
                ? range.low() + Math.floor(share * (range.high() - range.low() + 1))
                : range.least() + share * (range.most() - range.least());
    }

    long nanos(String word) {
        return Math.round(figure(word));
    }

    double seconds(String word) {
        return figure(word) / Unit.SECONDS.scale();
    }

    int count(String word) {
        return (int) Math.round(figure(word));
    }

    /** One word of a choice. */
    String word(String word) {
        List<String> words = ((Value.Choice) value(section, word)).words();
        return words.get((int) (streams.share(actor + " " + word) * words.size()));
    }

    boolean yes(String word) {
        return word(word).equals("yes");
    }

    /** Whether something that happens with the probability of a share happens to this actor. */
    boolean happens(String word) {
        return streams.share(actor + " whether " + word) < figure(word);
    }
}
