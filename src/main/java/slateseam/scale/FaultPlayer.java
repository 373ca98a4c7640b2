package slateseam.scale;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import slateseam.router.net.Clock;
import slateseam.trial.DatagramLinks;

/** Begins and ends the faults of a run. */
final class FaultPlayer {
    /** How long one that is replaced is down. */
    private static final double DOWN_SECONDS = 2;
    /** Of a phase, in which routers end one after another; in the rest the last of them start again. */
    private static final double ENDING_PART = 0.9;

    private static final double LOST = 0.2;
    private static final int SLOW_VOTER = 1;
    private static final long SLOW_NANOS = 300 * Clock.MILLI;

    private final ScaleSettings settings;
    private final Impairments impairments;
    private final DatagramLinks links;
    private final HollowTier hollow;
    private final List<RealRouter> real;
    private final Sightings sightings;
    private final Random random = new Random(1);
    /** Hollow routers that are down for the whole of a phase. */
    private final Set<Integer> down = new HashSet<>();

    FaultPlayer(
            ScaleSettings settings,
            Impairments impairments,
            DatagramLinks links,
            HollowTier hollow,
            List<RealRouter> real,
            Sightings sightings) {
        this.settings = settings;
        this.impairments = impairments;
        this.links = links;
        this.hollow = hollow;
        this.real = real;
        this.sightings = sightings;
    }

    /** How many hollow routers are down for the whole of the present phase. */
    int down() {
        return down.size();
    }

    /** So many hollow routers that are up and do not vote, drawn. */
    List<Integer> expendable(int many) {
        List<Integer> all = new ArrayList<>(hollow.numbers());
        all.removeIf(number -> !settings.isExpendable(number) || down.contains(number));
        Collections.shuffle(all, random);
        return all.subList(0, Math.min(many, all.size()));
    }

    /** Starts one again. */
    void bringBack(int number) {
        hollow.tell(number, one -> startAgain(one));
    }

    private void startAgain(HollowRouter one) {
        sightings.started(RouterTexts.name(one.number()));
        one.start();
    }

    void begin(ScaleFault fault) {
        switch (fault) {
            case RESTARTS -> spread(expendable(Math.max(1, settings.routers() / 100)), HollowRouter::kill);
            case REPLACEMENTS -> spread(expendable(settings.replacements()), HollowRouter::leave);
            case HALVES -> {
                impairments.cut(settings.routers() / 2);
                cutReals(true);
            }
            case LOSS -> {
                impairments.lose(LOST);
                links.lose(LOST);
            }
            case SLOW_VOTER -> impairments.delay(SLOW_VOTER, SLOW_NANOS);
            case GROUP -> {
                down.addAll(expendable(settings.group()));
                down.forEach(number -> {
                    sightings.killed(RouterTexts.name(number));
                    hollow.tell(number, HollowRouter::kill);
                });
            }
        }
    }

    /** Ends routers one after another and starts each again, evenly over a phase. */
    private void spread(List<Integer> routers, Consumer<HollowRouter> end) {
        double each = settings.faultSeconds() * ENDING_PART / routers.size();
        for (int i = 0; i < routers.size(); i++) {
            int number = routers.get(i);
            long at = (long) (i * each * 1e9);
            long back = at + (long) (DOWN_SECONDS * 1e9);
            hollow.after(number, at, one -> {
                sightings.killed(RouterTexts.name(number));
                end.accept(one);
            });
            hollow.after(number, back, this::startAgain);
        }
    }

    private void cutReals(boolean on) {
        int boundary = settings.routers() / 2;
        for (RealRouter one : real) {
            for (RealRouter other : real) {
                if (one.number() < boundary && other.number() >= boundary) {
                    links.mute(one.name() + "~" + other.name(), on);
                    links.mute(other.name() + "~" + one.name(), on);
                }
            }
        }
    }

    void end(ScaleFault fault) {
        switch (fault) {
            case RESTARTS, REPLACEMENTS -> {
                // Each has started again by itself.
            }
            case HALVES -> {
                impairments.cut(0);
                cutReals(false);
            }
            case LOSS -> {
                impairments.lose(0);
                links.lose(0);
            }
            case SLOW_VOTER -> impairments.delay(SLOW_VOTER, 0);
            case GROUP -> {
                down.forEach(this::bringBack);
                down.clear();
            }
        }
    }
}
