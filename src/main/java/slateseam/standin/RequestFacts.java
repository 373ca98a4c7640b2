package slateseam.standin;

import java.nio.charset.StandardCharsets;

/**
 * What a request tells of itself: {@code c=read,t=acme,d=480}.
 *
 * @param className the class; empty if it tells none
 * @param waitMillis how long it is waited for; -1 if it does not tell
 * @param idempotencyKey of a keyed write; null if it has none
 */
record RequestFacts(String className, long waitMillis, String idempotencyKey) {
    private static final int LONGEST_KEY = 1_024;

    /** Reads the list. */
    static RequestFacts of(String facts) throws UnreadableException {
        String className = "";
        long wait = -1;
        String idempotencyKey = null;
        int next;
        for (int at = 0; at < facts.length(); at = next + 1) {
            next = facts.indexOf(',', at);
            next = next < 0 ? facts.length() : next;
            int equals = facts.indexOf('=', at);
            if (equals <= at || equals >= next - 1) {
                throw new UnreadableException("not a list of names and values");
            }
            String value = facts.substring(equals + 1, next);
            if (equals == at + 1) {
                switch (facts.charAt(at)) {
                    case 'c' -> className = value;
                    case 'd' -> wait = millis(value);
                    case 'k' -> idempotencyKey = value;
                    default -> {}
                }
            }
        }
        if (facts.isEmpty() || facts.endsWith(",")) {
            throw new UnreadableException("an empty list, or an empty place in it");
        }
        return new RequestFacts(className, wait, idempotencyKey);
    }

    private static long millis(String digits) throws UnreadableException {
        if (digits.length() > 8 || !digits.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new UnreadableException("not a time in milliseconds");
        }
        return Long.parseLong(digits);
    }

    /** A key, an id or a list as text: 1 to 1,024 visible ASCII characters. */
    static String visible(byte[] bytes) throws UnreadableException {
        boolean visible = bytes.length > 0 && bytes.length <= LONGEST_KEY;
        for (byte b : bytes) {
            visible &= b > ' ' && b <= '~';
        }
        if (!visible) {
            throw new UnreadableException("not 1 to " + LONGEST_KEY + " visible characters");
        }
        return new String(bytes, StandardCharsets.US_ASCII);
    }
}
