package slateseam.router.request;

import java.nio.charset.StandardCharsets;

/**
 * Reads and changes the list of one-letter names and values that a request carries, such as {@code
 * c=read,t=acme,d=480}. {@code d} is the remaining time, in milliseconds.
 */
public final class Facts {
    private Facts() {}

    /** Returns the value of a name; null if the list does not contain the name. */
    public static String value(byte[] facts, char name) {
        int at = valueStart(facts, name);
        return at < 0 ? null : new String(facts, at, valueEnd(facts, at) - at, StandardCharsets.ISO_8859_1);
    }

    /**
     * Returns the list with the remaining time replaced, in milliseconds; the same list if it contains no such time.
     */
    public static byte[] withTimeLeft(byte[] facts, long millis) {
        int at = valueStart(facts, 'd');
        if (at < 0) {
            return facts;
        }
        int end = valueEnd(facts, at);
        byte[] digits = Long.toString(millis).getBytes(StandardCharsets.US_ASCII);
        byte[] changed = new byte[at + digits.length + facts.length - end];
        System.arraycopy(facts, 0, changed, 0, at);
        System.arraycopy(digits, 0, changed, at, digits.length);
        System.arraycopy(facts, end, changed, at + digits.length, facts.length - end);
        return changed;
    }

    /** Returns the index at which the value of a name begins; -1 if the list does not contain the name. */
    private static int valueStart(byte[] facts, char name) {
        for (int i = 0; i + 1 < facts.length; i = valueEnd(facts, i) + 1) {
            if (facts[i] == name && facts[i + 1] == '=') {
                return i + 2;
            }
        }
        return -1;
    }

    private static int valueEnd(byte[] facts, int from) {
        int end = from;
        while (end < facts.length && facts[end] != ',') {
            end++;
        }
        return end;
    }
}
