package slateseam.router.net;

import java.util.HashMap;
import java.util.Map;

/** The operators' log: plain lines, of each kind at most a few a second. */
public final class Log {
    private static final long SECOND = 1_000_000_000L;
    private static final int LINES_A_SECOND = 5;
    private static final int LINE_LIMIT = 300;

    private static final class Kind {
        long second;
        int written;
        long dropped;
    }

    private final String name;
    private final Clock clock;
    private final Lines out;
    private final Map<String, Kind> kinds = new HashMap<>();

    /** Creates a log whose lines begin with a router's name. */
    public Log(String name, Clock clock, Lines out) {
        this.name = name;
        this.clock = clock;
        this.out = out;
    }

    /** Writes a line of a kind (from a fixed set; the on-call page explains each) unless too many came just now. */
    public void line(String kind, String text) {
        Kind k = kinds.computeIfAbsent(kind, x -> new Kind());
        long second = clock.nanos() / SECOND;
        if (second != k.second) {
            k.second = second;
            k.written = 0;
        }
        if (++k.written > LINES_A_SECOND) {
            k.dropped++;
            return;
        }
        String dropped = k.dropped > 0 ? " (and " + k.dropped + " such lines before)" : "";
        k.dropped = 0;
        String shown = text.length() > LINE_LIMIT ? text.substring(0, LINE_LIMIT) : text;
        out.line(name + ": " + kind + ": " + shown.replaceAll("\\p{Cntrl}", "?") + dropped);
    }
}
