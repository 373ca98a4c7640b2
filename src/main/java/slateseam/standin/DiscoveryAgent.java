package slateseam.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Discovery's agent on one router's machine, asked in HTTP/1.1: {@code GET /api/targets} for the whole list, with
 * {@code ?index=N&wait=MS} for what is newer. It takes up to 64 connections and refuses more.
 */
public final class DiscoveryAgent extends Station {
    private static final int MOST_CONNECTIONS = 64;

    private final DiscoveryFigures figures;
    private final FarmList list = new FarmList();
    /** Calls without an answer yet, in their order. */
    private final Set<DiscoveryCall> calls = new LinkedHashSet<>();
    /** When the last change of each host is heard of, so that a later one does not overtake it; only looked up. */
    private final Map<String, Long> heard = new HashMap<>();
    /** What was heard of while the list is frozen, the last of each host. */
    private final Map<String, Listing> held = new LinkedHashMap<>();

    private long lateNanos;
    private boolean frozen;
    private boolean silent;
    private int moves;

    /** Makes an agent that takes connections at an address from now on, with what stands in the list. */
    public DiscoveryAgent(
            String address, DiscoveryFigures figures, World world, UniformRandomProvider random, List<Listing> begin) {
        super(world.clock(), world.net(), random, address, MOST_CONNECTIONS, 0, true, Long.MAX_VALUE);
        this.figures = figures;
        begin.forEach(list::change);
        openUp();
    }

    /** Something changes, of which discovery tells after so many nanoseconds. */
    public void change(Listing listing, long delayNanos) {
        Range.span("delay of a change", delayNanos);
        long spread = (long) (figures.spreadNanos() * random.nextDouble());
        long due = Math.max(clock.now() + delayNanos + spread + lateNanos, heard.getOrDefault(listing.host(), 0L));
        heard.put(listing.host(), due);
        clock.at(due, () -> hear(listing));
    }

    private void hear(Listing listing) {
        if (frozen) {
            held.remove(listing.host());
            held.put(listing.host(), listing);
        } else {
            list.change(listing);
            answerCalls();
        }
    }

    /** Changes that happen from now on are heard of later by so much. */
    public void late(long nanos) {
        Range.span("lateness of the list", nanos);
        lateNanos = nanos;
    }

    /** Freezes the list, or lets it change again, with all that was heard of meanwhile. */
    public void freeze(boolean stop) {
        frozen = stop;
        if (!stop) {
            held.values().forEach(list::change);
            held.clear();
            answerCalls();
        }
    }

    /** Says nothing from now on though it takes connections and calls, or speaks again. */
    public void silence(boolean stop) {
        silent = stop;
        answerCalls();
    }

    /**
     * Moves to another address, where versions count from 1 again. The old one refuses connections from now on, says
     * nothing more on those that are open, and ends them after a time.
     */
    public void move(String other) {
        List<Link> old = links();
        moves++;
        calls.clear();
        list.renumber();
        moveTo(other);
        clock.at(clock.now() + figures.movedNanos(), () -> old.forEach(Link::end));
    }

    /** The whole list as it is told now, as a router keeps it over its restart. */
    public String whole() {
        return list.whole();
    }

    @Override
    protected Link link(Wire wire) {
        return new DiscoveryLink(this, wire, moves);
    }

    void take(DiscoveryCall call, int movesBefore) {
        tallies.add(Tally.ASKED);
        if (movesBefore == moves) {
            calls.add(call);
            clock.at(call.until(), () -> answerInTurn(call));
            answerInTurn(call);
        }
    }

    void withdraw(DiscoveryCall call) {
        calls.remove(call);
    }

    private void answerCalls() {
        new ArrayList<>(calls).forEach(this::answerInTurn);
    }

    private void answerInTurn(DiscoveryCall call) {
        if (silent || !calls.contains(call)) {
            return;
        }
        String told;
        if (!call.isWatch() || !list.knows(call.index())) {
            told = list.whole();
        } else if (list.version() > call.index()) {
            told = figures.alwaysWhole() ? list.whole() : list.since(call.index());
        } else if (clock.now() >= call.until()) {
            told = list.since(call.index());
        } else {
            return;
        }
        calls.remove(call);
        call.tell(told);
    }
}
