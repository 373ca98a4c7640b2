package slateseam.router.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import slateseam.router.config.NodeConfig.InvalidConfigException;
import slateseam.router.net.Bytes;

/**
 * A settings file as classic daemons have it: {@code name value} on a line of its own, in any order; {@code #} at the
 * start of a line or behind white space begins a comment. Every fault names the file and the line.
 */
final class SettingsFile {
    private static final class Entry {
        final String value;
        final int line;
        boolean asked;

        Entry(String value, int line) {
            this.value = value;
            this.line = line;
        }
    }

    private final Path file;
    private final Map<String, Entry> entries = new LinkedHashMap<>();

    /** Reads a file; which settings there are is told by what is asked of it. */
    SettingsFile(Path file) throws InvalidConfigException {
        this.file = file;
        try {
            String[] lines = new String(Files.readAllBytes(file), StandardCharsets.UTF_8).split("\r?\n");
            for (int i = 0; i < lines.length; i++) {
                take(lines[i].replaceFirst("(^|\\s)#.*", "").strip(), i + 1);
            }
        } catch (IOException e) {
            throw new InvalidConfigException(
                    "cannot read " + file + ": " + e.getClass().getSimpleName());
        }
    }

    private void take(String text, int line) throws InvalidConfigException {
        if (text.isEmpty()) {
            return;
        }
        String[] words = text.split("\\s+", 2);
        Entry entry = new Entry(words.length == 2 ? words[1] : "", line);
        if (entry.value.isEmpty()) {
            throw fault(entry, words[0] + " has no value");
        }
        Entry earlier = entries.putIfAbsent(words[0], entry);
        if (earlier != null) {
            throw fault(entry, words[0] + " is set on line " + earlier.line + " already");
        }
    }

    /** The value of a setting; null if it is not set. */
    String text(String name) {
        Entry entry = entries.get(name);
        if (entry == null) {
            return null;
        }
        entry.asked = true;
        return entry.value;
    }

    /** A whole number within a range. */
    int number(String name, int least, int most, int usual) throws InvalidConfigException {
        String digits = text(name);
        if (digits == null) {
            return usual;
        }
        int value = Bytes.number(digits);
        if (value < least || value > most) {
            throw fault(name, name + " is " + digits + ", no whole number from " + least + " to " + most);
        }
        return value;
    }

    /** One of several words, of which the first is the usual one. */
    String word(String name, String... words) throws InvalidConfigException {
        String word = text(name);
        if (word != null && !List.of(words).contains(word)) {
            throw fault(name, name + " is " + word + ", not one of " + String.join(", ", words));
        }
        return word == null ? words[0] : word;
    }

    /** Whether a setting that is {@code on} or {@code off} is on. */
    boolean on(String name) throws InvalidConfigException {
        return word(name, "off", "on").equals("on");
    }

    /** A file's or folder's path; null if it is not set. */
    Path path(String name) throws InvalidConfigException {
        String text = text(name);
        try {
            return text == null ? null : Path.of(text);
        } catch (InvalidPathException e) {
            throw fault(name, name + " is no path: " + e.getReason());
        }
    }

    /** An address and a port to send to; null if it is not set. */
    InetSocketAddress address(String name) throws InvalidConfigException {
        String text = text(name);
        InetSocketAddress address = text == null ? null : NodeConfig.address(text);
        if (text != null && (address == null || address.getPort() == 0)) {
            throw fault(name, name + " is " + text + ", no address and port");
        }
        return address;
    }

    /** Refuses settings whose names begin so, as the one is missing without which they do nothing. */
    void rejectWithout(String missing, String prefix) throws InvalidConfigException {
        for (Map.Entry<String, Entry> entry : entries.entrySet()) {
            if (entry.getKey().startsWith(prefix) && entry.getValue().asked) {
                throw fault(entry.getValue(), entry.getKey() + " is set, but " + missing + " is not");
            }
        }
    }

    /** Guards against settings that are misspelt and so would do nothing; to be called when all have been asked for. */
    void rejectTheRest() throws InvalidConfigException {
        for (Map.Entry<String, Entry> entry : entries.entrySet()) {
            if (!entry.getValue().asked) {
                throw fault(entry.getValue(), "there is no setting " + entry.getKey());
            }
        }
    }

    /** What is wrong with a setting that is there. */
    InvalidConfigException fault(String name, String what) {
        return fault(entries.get(name), what);
    }

    private InvalidConfigException fault(Entry entry, String what) {
        return new InvalidConfigException(file + ":" + entry.line + ": " + what.replaceAll("\\p{Cntrl}", "?"));
    }
}
