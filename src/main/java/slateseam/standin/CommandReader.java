package slateseam.standin;

import java.util.ArrayList;
import java.util.List;

/** Reads RESP2 commands, arrays of bulk strings, from any split. */
final class CommandReader {
    private static final int MOST_PARTS = 16;
    private static final int LONGEST_LINE = 64;
    private static final int LONGEST_PART = 65_536;

    private final Inbox inbox;
    private final List<byte[]> parts = new ArrayList<>();
    private int missing;
    private int length = -1;

    CommandReader(Inbox inbox) {
        this.inbox = inbox;
    }

    /** The next command; null while it is not whole. */
    List<byte[]> next() throws UnreadableException {
        if (missing == 0) {
            String line = inbox.line(LONGEST_LINE);
            if (line == null) {
                return null;
            }
            missing = number(line, '*', 1, MOST_PARTS);
        }
        while (missing > 0) {
            if (length < 0) {
                String line = inbox.line(LONGEST_LINE);
                if (line == null) {
                    return null;
                }
                length = number(line, '$', 0, LONGEST_PART);
            }
            byte[] part = inbox.take(length + 2);
            if (part == null) {
                return null;
            }
            if (part[length] != '\r' || part[length + 1] != '\n') {
                throw new UnreadableException("a bulk string does not end where it should");
            }
            parts.add(java.util.Arrays.copyOf(part, length));
            length = -1;
            missing--;
        }
        List<byte[]> command = List.copyOf(parts);
        parts.clear();
        return command;
    }

    private static int number(String line, char type, int least, int most) throws UnreadableException {
        int number = -1;
        if (line.length() > 1 && line.length() < 8 && line.charAt(0) == type) {
            number = 0;
            for (int i = 1; i < line.length(); i++) {
                char c = line.charAt(i);
                number = c < '0' || c > '9' || number < 0 ? -1 : 10 * number + c - '0';
            }
        }
        if (number < least || number > most) {
            throw new UnreadableException("not " + type + " and a number from " + least + " to " + most);
        }
        return number;
    }
}
