package slateseam.standin.kubernetes;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** A request's path and its parameters, decoded; parameters are only looked up. */
final class Query {
    private static final int MOST_DIGITS = 18;

    final String path;
    private final Map<String, String> values = new HashMap<>();

    Query(String target) {
        String[] parts = target.split("\\?", 2);
        path = parts[0];
        for (String pair : parts.length == 1 ? new String[0] : parts[1].split("&")) {
            String[] words = pair.split("=", 2);
            values.putIfAbsent(decoded(words[0]), words.length == 1 ? "" : decoded(words[1]));
        }
    }

    private static String decoded(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }

    /** A parameter; an empty text if it lacks. */
    String text(String name) {
        return values.getOrDefault(name, "");
    }

    boolean has(String name) {
        return !text(name).isEmpty();
    }

    boolean flag(String name) {
        return text(name).equals("1") || text(name).equals("true");
    }

    /** A number that is not negative; -1 if it lacks. */
    long number(String name) {
        String digits = text(name);
        if (digits.isEmpty()) {
            return -1;
        }
        if (digits.length() > MOST_DIGITS || !digits.matches("[0-9]+")) {
            throw new IllegalArgumentException("invalid " + name + ": \"" + digits + '"');
        }
        return Long.parseLong(digits);
    }
}
