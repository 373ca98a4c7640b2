package slateseam.trial;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.cli.ParseException;

/** The line of a shell that starts a router as it is deployed. */
public final class RunLine {
    private static final Pattern FEATURES = Pattern.compile("--features\\s+(\\S+)");

    private RunLine() {}

    /** The line of a deploy file that starts a router. */
    public static String deployed(Path file) throws ParseException, IOException {
        if (!Files.exists(file)) {
            throw new ParseException("there is no " + file + "; --deploy names another, --run a line");
        }
        return Files.readAllLines(file).stream()
                .filter(l -> l.matches("run\\s*=\\s*\".*\"\\s*(#.*)?"))
                .findFirst()
                .map(l -> l.substring(l.indexOf('"') + 1, l.lastIndexOf('"')))
                .orElseThrow(() -> new ParseException(file + " has no line run = \"...\""));
    }

    /**
     * The same line with further features.
     *
     * @param root the folder in which the line is run
     * @param features where the settings file goes that has both
     * @throws IllegalStateException if the line names no settings file
     */
    public static String withFeatures(String line, String extra, Path root, Path features) throws IOException {
        Matcher named = FEATURES.matcher(line);
        if (!named.find()) {
            throw new IllegalStateException(
                    "the line that starts a router names no --features, which this needs: " + line);
        }
        Files.writeString(features, Files.readString(root.resolve(named.group(1))) + extra);
        return new StringBuilder(line)
                .replace(named.start(1), named.end(1), "'" + features + "'")
                .toString();
    }
}
