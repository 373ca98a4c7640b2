package slateseam.standin.kubernetes;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.Function;
import slateseam.standin.Clockwork;
import slateseam.standin.Net;
import slateseam.standin.Party;
import slateseam.standin.Wire;

/** A clock that runs as fast as it can and a network on which nobody is, to try out a script. */
final class Rehearsal implements Clockwork, Net {
    private record Happening(long time, long order, Runnable action) {}

    private final PriorityQueue<Happening> happenings =
            new PriorityQueue<>(Comparator.comparingLong(Happening::time).thenComparingLong(Happening::order));
    private long now;
    private long orders;

    void run() {
        for (Happening next; (next = happenings.poll()) != null; ) {
            now = next.time;
            next.action.run();
        }
    }

    @Override
    public long now() {
        return now;
    }

    @Override
    public void at(long time, Runnable action) {
        happenings.add(new Happening(Math.max(now, time), orders++, action));
    }

    @Override
    public Wire connect(String from, String to, Party party) {
        throw new UnsupportedOperationException("an API server connects to nobody");
    }

    @Override
    public void listen(String address, Function<Wire, Party> listener) {
        // Nobody comes.
    }

    @Override
    public void unlisten(String address) {
        // Nobody comes.
    }
}
