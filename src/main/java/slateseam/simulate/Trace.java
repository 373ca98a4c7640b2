package slateseam.simulate;

import java.util.Locale;
import java.util.function.Consumer;
import slateseam.simulate.network.Observer;
import slateseam.standin.Clockwork;
import slateseam.standin.Witness;

/** Writes every happening as a line, with the seconds since the day's beginning. */
final class Trace implements Observer, Witness {
    private static final int MOST_SHOWN = 120;

    private final Clockwork clock;
    private final long start;
    private final Consumer<String> lines;

    Trace(Clockwork clock, Consumer<String> lines) {
        this.clock = clock;
        this.start = clock.now();
        this.lines = lines;
    }

    /** A line of any other kind. */
    void line(String text) {
        long nanos = clock.now() - start;
        lines.accept(String.format(Locale.ROOT, "%d.%09d %s", nanos / 1_000_000_000L, nanos % 1_000_000_000L, text));
    }

    @Override
    public void connecting(long wire, String from, String to) {
        line("wire " + wire + " " + from + " connects to " + to);
    }

    @Override
    public void up(long wire) {
        line("wire " + wire + " up");
    }

    @Override
    public void sent(long wire, String from, byte[] bytes) {
        line("wire " + wire + " " + from + " sends " + shown(bytes));
    }

    @Override
    public void delivered(long wire, String to, byte[] bytes) {
        line("wire " + wire + " " + to + " takes " + bytes.length);
    }

    @Override
    public void endedBy(long wire, String side) {
        line("wire " + wire + " " + side + " ends");
    }

    @Override
    public void resetBy(long wire, String side) {
        line("wire " + wire + " " + (side.isEmpty() ? "the network" : side) + " resets");
    }

    @Override
    public void datagram(String from, String to, byte[] bytes, boolean lost) {
        line("datagram " + from + " to " + to + " of " + bytes.length + (lost ? " lost" : ""));
    }

    @Override
    public void ran(String server, String id, String key, boolean write, String idempotencyKey) {
        line("ran " + id + " at " + server + " key " + key + (write ? " write" : ""));
    }

    @Override
    public void dropped(String server, String id, String idempotencyKey) {
        line("dropped " + id + " at " + server);
    }

    @Override
    public void fell(String server) {
        line("fell " + server);
    }

    private static String shown(byte[] bytes) {
        StringBuilder text = new StringBuilder().append(bytes.length).append(" \"");
        for (int i = 0; i < Math.min(bytes.length, MOST_SHOWN); i++) {
            char c = (char) (bytes[i] & 0xff);
            text.append(
                    c == '\r'
                            ? "\\r"
                            : c == '\n'
                                    ? "\\n"
                                    : c >= ' ' && c < 0x7f
                                            ? String.valueOf(c)
                                            : String.format(Locale.ROOT, "\\x%02x", (int) c));
        }
        return text.append(bytes.length > MOST_SHOWN ? "\"..." : "\"").toString();
    }
}
