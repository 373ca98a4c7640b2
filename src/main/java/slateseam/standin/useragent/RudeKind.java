package slateseam.standin.useragent;

import java.util.Arrays;

/** What rude user agents do. */
public enum RudeKind {
    /** Sends a line that has no end. */
    ENDLESS_LINE("endless-line", 2, "a line without an end"),
    /** Tells lengths that are wrong, negative or huge. */
    BAD_LENGTH("bad-length", 4, "lengths that are wrong, negative or huge"),
    /** Asks with a class that does not exist. */
    UNKNOWN_CLASS("unknown-class", 2, "a class that does not exist"),
    /** Asks with a deadline that is no number. */
    BAD_DEADLINE("bad-deadline", 2, "a deadline that is no number"),
    /** Asks without an id, or with too few words. */
    NO_ID("no-id", 2, "no id"),
    /** Asks with the id of another's open request. */
    SAME_ID("same-id", 2, "the id of another's open request"),
    /** Sends half a command, then nothing more. */
    HALF_SILENT("half-silent", 4, "half a command, then silence"),
    /** Sends half a command and closes. */
    HALF_CLOSED("half-closed", 4, "half a command, then a close"),
    /** Sends hundreds of commands at once on one connection. */
    PIPELINE("pipeline", 1, "hundreds of commands at once"),
    /** Asks the same again as soon as it is turned away. */
    HAMMER("hammer", 2, "the same again as soon as it is turned away"),
    /** Opens a connection and says nothing. */
    SILENT("silent", 400, "silent connections");

    private final String word;
    private final int usual;
    private final String meaning;

    RudeKind(String word, int usual, String meaning) {
        this.word = word;
        this.usual = usual;
        this.meaning = meaning;
    }

    /** Its name in files. */
    public String word() {
        return word;
    }

    /** How many come, where nothing else is said. */
    public int usual() {
        return usual;
    }

    /** A few words for the operators' page. */
    public String meaning() {
        return meaning;
    }

    /** The kind of this word; null if there is none. */
    public static RudeKind find(String word) {
        return Arrays.stream(values())
                .filter(kind -> kind.word.equals(word))
                .findFirst()
                .orElse(null);
    }
}
