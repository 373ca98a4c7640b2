package slateseam.standin.kubernetes;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A label selector and a field selector, of which the API knows the names for slices only. */
final class Selector {
    private static final String KEY = "([A-Za-z0-9][A-Za-z0-9._/-]*)";
    private static final String VALUE = "([A-Za-z0-9._-]*)";
    private static final Pattern EQUAL = Pattern.compile(KEY + "\\s*(=|==|!=)\\s*" + VALUE);
    private static final Pattern IN = Pattern.compile(KEY + "\\s+(in|notin)\\s*\\(([A-Za-z0-9._,\\s-]*)\\)");
    private static final Pattern EXISTS = Pattern.compile("(!?)\\s*" + KEY);
    private static final Pattern FIELD = Pattern.compile("metadata\\.(name|namespace)(=|==|!=)" + VALUE);

    private final List<Predicate<Stored>> terms = new ArrayList<>();

    /** Reads both; null or an empty text selects all. */
    Selector(String labels, String fields, String namespace) {
        for (String term : split(labels)) {
            terms.add(label(term.strip()));
        }
        for (String term : split(fields)) {
            Matcher field = FIELD.matcher(term);
            if (!field.matches()) {
                throw new IllegalArgumentException("field label not supported: " + term);
            }
            boolean equal = !field.group(2).equals("!=");
            boolean name = field.group(1).equals("name");
            terms.add(slice -> (name ? slice.name() : namespace).equals(field.group(3)) == equal);
        }
    }

    boolean matches(Stored slice) {
        return terms.stream().allMatch(term -> term.test(slice));
    }

    boolean selectsAll() {
        return terms.isEmpty();
    }

    /** Splits at commas that stand in no brackets. */
    private static String[] split(String text) {
        return text == null || text.isBlank() ? new String[0] : text.split(",(?![^(]*\\))");
    }

    private static Predicate<Stored> label(String term) {
        Matcher equal = EQUAL.matcher(term);
        if (equal.matches()) {
            boolean wanted = !equal.group(2).equals("!=");
            return slice -> equal.group(3).equals(slice.labels().get(equal.group(1))) == wanted;
        }
        Matcher in = IN.matcher(term);
        if (in.matches()) {
            List<String> values = List.of(in.group(3).strip().split("\\s*,\\s*"));
            boolean wanted = in.group(2).equals("in");
            return slice -> {
                String value = slice.labels().get(in.group(1));
                return (value != null && values.contains(value)) == wanted;
            };
        }
        Matcher exists = EXISTS.matcher(term);
        if (exists.matches()) {
            return slice -> slice.labels().containsKey(exists.group(2))
                    == exists.group(1).isEmpty();
        }
        throw new IllegalArgumentException("unable to parse requirement: " + term);
    }
}
