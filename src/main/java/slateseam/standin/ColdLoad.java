package slateseam.standin;

import java.util.ArrayDeque;
import java.util.Deque;

/** The work that a cold server was sent within the last window. */
final class ColdLoad {
    private static final double SECOND = 1e9;

    private record Sent(long time, double work) {}

    private final ServerFigures.Cold figures;
    private final Deque<Sent> sent = new ArrayDeque<>();
    private double sum;

    ColdLoad(ServerFigures.Cold figures) {
        this.figures = figures;
    }

    /** Counts work that came now; whether it is more than the server, which can do so much now, stands. */
    boolean isTooMuch(long now, double work, double capacity) {
        sent.add(new Sent(now, work));
        sum += work;
        while (sent.peek().time < now - figures.fallNanos()) {
            sum -= sent.poll().work;
        }
        return figures.fallMultiple() > 0 && sum > figures.fallMultiple() * capacity * (figures.fallNanos() / SECOND);
    }
}
