package slateseam.simulate.scenario;

import java.util.Collection;

/** Finds what somebody may have meant. */
final class Nearest {
    private static final int LONGEST = 40;
    private static final int SHORTEST = 3;

    private Nearest() {}

    /** A few words that name the nearest known word, or all of them where none is near. */
    static String hint(String word, Collection<String> known) {
        String nearest = null;
        int least = Math.max(2, word.length() / 3) + 1;
        for (String candidate : known) {
            boolean part = word.length() >= SHORTEST && (candidate.startsWith(word) || word.startsWith(candidate));
            int distance = part ? 1 : word.length() > LONGEST ? least : distance(word, candidate);
            if (distance < least) {
                least = distance;
                nearest = candidate;
            }
        }
        return nearest != null
                ? "; did you mean " + nearest + "?"
                : known.isEmpty() ? "" : "; there are " + String.join(", ", known);
    }

    /** How many letters must be put in, left out or changed. */
    private static int distance(String from, String to) {
        int[] row = new int[to.length() + 1];
        for (int j = 0; j <= to.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= from.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= to.length(); j++) {
                int above = row[j];
                row[j] = Math.min(
                        Math.min(row[j], row[j - 1]) + 1, diagonal + (from.charAt(i - 1) == to.charAt(j - 1) ? 0 : 1));
                diagonal = above;
            }
        }
        return row[to.length()];
    }
}
