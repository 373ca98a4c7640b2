package slateseam.router.request;

import java.nio.charset.StandardCharsets;

/** The list of names and values that a request carries: {@code c=read,t=acme,d=480}. */
public final class Facts {
    private Facts() {}

    /** The value of a name; null if the list lacks it. */
    public static String value(byte[] facts, char name) {
        int at = find(facts, name);
        return at < 0 ? null : new String(facts, at, end(facts, at) - at, StandardCharsets.ISO_8859_1);
    }

    /** The same list with another time to wait, in milliseconds; unchanged if it tells none. */
    public static byte[] withTimeLeft(byte[] facts, long millis) {
        int at = find(facts, 'd');
        if (at < 0) {
            return facts;
        }
        int end = end(facts, at);
        byte[] digits = Long.toString(millis).getBytes(StandardCharsets.US_ASCII);
        byte[] changed = new byte[at + digits.length + facts.length - end];
        System.arraycopy(facts, 0, changed, 0, at);
        System.arraycopy(digits, 0, changed, at, digits.length);
        System.arraycopy(facts, end, changed, at + digits.length, facts.length - end);
        return changed;
    }

    /** Where the value of a name begins; -1 if it is not there. */
    private static int find(byte[] facts, char name) {
        for (int i = 0; i + 1 < facts.length; i = end(facts, i) + 1) {
            if (facts[i] == name && facts[i + 1] == '=') {
                return i + 2;
            }
        }
        return -1;
    }

    private static int end(byte[] facts, int from) {
        int end = from;
        while (end < facts.length && facts[end] != ',') {
            end++;
        }
        return end;
    }
}
