package slateseam.standin.kubernetes;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The words of a line: first those that stand by their place, then {@code name=value} in any order. What is wrong with
 * them is an {@link IllegalArgumentException}.
 */
final class Words {
    private static final Pattern TIME = Pattern.compile("([0-9]{1,7})(us|ms|s)");
    private static final long LONGEST = 3_600_000_000_000L;

    private final Deque<String> placed = new ArrayDeque<>();
    private final Map<String, String> named = new LinkedHashMap<>();

    Words(String line) {
        for (String word : line.strip().split("\\s+")) {
            int equal = word.indexOf('=');
            if (equal < 0) {
                if (!named.isEmpty()) {
                    throw new IllegalArgumentException(word + " stands behind a name with a value");
                }
                placed.add(word);
            } else if (named.putIfAbsent(word.substring(0, equal), word.substring(equal + 1)) != null) {
                throw new IllegalArgumentException(word.substring(0, equal) + " is given twice");
            }
        }
    }

    /** The next word by its place. */
    String next(String what) {
        if (placed.isEmpty()) {
            throw new IllegalArgumentException(what + " lacks");
        }
        return placed.poll();
    }

    boolean hasNext() {
        return !placed.isEmpty();
    }

    /** One of several words. */
    String next(String what, String... allowed) {
        return oneOf(what, next(what), allowed);
    }

    long nextNumber(String what, long least, long most) {
        return number(what, next(what), least, most);
    }

    long nextTime(String what) {
        return time(what, next(what));
    }

    boolean nextYes(String what) {
        return next(what, "yes", "no").equals("yes");
    }

    /** A value by its name; the usual one, or null, if it is not given. */
    String named(String name, String usual) {
        String value = named.remove(name);
        return value == null ? usual : value;
    }

    String named(String name) {
        String value = named.remove(name);
        if (value == null) {
            throw new IllegalArgumentException(name + "= lacks");
        }
        return value;
    }

    String namedOneOf(String name, String usual, String... allowed) {
        return oneOf(name, named(name, usual), allowed);
    }

    long namedNumber(String name, long usual, long least, long most) {
        return number(name, named(name, Long.toString(usual)), least, most);
    }

    long namedTime(String name, String usual) {
        return time(name, named(name, usual));
    }

    /** Pairs {@code key:value,key:value}. */
    Map<String, String> namedPairs(String name) {
        Map<String, String> pairs = new LinkedHashMap<>();
        String text = named(name, "");
        for (String pair : text.isEmpty() ? new String[0] : text.split(",")) {
            int colon = pair.indexOf(':');
            if (colon < 1) {
                throw new IllegalArgumentException(name + " has no key and value: " + pair);
            }
            pairs.put(pair.substring(0, colon), pair.substring(colon + 1));
        }
        return pairs;
    }

    /** Guards against words that are misspelt and so would do nothing. */
    void end() {
        if (!placed.isEmpty() || !named.isEmpty()) {
            throw new IllegalArgumentException(
                    "too much: " + (placed.isEmpty() ? named.keySet().iterator().next() + '=' : placed.peek()));
        }
    }

    private static String oneOf(String what, String word, String... allowed) {
        if (!List.of(allowed).contains(word)) {
            throw new IllegalArgumentException(what + " is " + word + ", not one of " + String.join(", ", allowed));
        }
        return word;
    }

    private static long number(String what, String digits, long least, long most) {
        if (!digits.matches("[0-9]{1,9}") || Long.parseLong(digits) < least || Long.parseLong(digits) > most) {
            throw new IllegalArgumentException(
                    what + " is " + digits + ", no whole number from " + least + " to " + most);
        }
        return Long.parseLong(digits);
    }

    private static long time(String what, String text) {
        Matcher matcher = TIME.matcher(text);
        long nanos = !matcher.matches()
                ? -1
                : Long.parseLong(matcher.group(1))
                        * switch (matcher.group(2)) {
                            case "us" -> 1_000L;
                            case "ms" -> 1_000_000L;
                            default -> 1_000_000_000L;
                        };
        if (nanos < 0 || nanos > LONGEST) {
            throw new IllegalArgumentException(
                    what + " is " + text + ", no time such as 250us, 40ms or 2s up to an hour");
        }
        return nanos;
    }
}
