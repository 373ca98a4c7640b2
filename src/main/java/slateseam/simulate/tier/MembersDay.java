package slateseam.simulate.tier;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import slateseam.simulate.tier.MembersWorld.Seen;
import slateseam.simulate.tier.MembersWorld.Ways;
import slateseam.tier.members.Change.Kind;
import slateseam.tier.members.LocalHealthIssue;
import slateseam.tier.members.MemberView;
import slateseam.tier.members.State;
import slateseam.tier.members.Traffic;

/** Faults drawn from a seed befall a tier of 3 to 12, and what its views come to is checked from outside. */
final class MembersDay {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final long DRAWN = 40 * SECOND;
    /** After the last fault, until all must see the same. */
    private static final long SETTLED = 15 * SECOND;
    /** After a fault what it caused may still be told of. */
    private static final long AFTER = 4 * SECOND;

    private static final long MOST_LASTS = 8 * SECOND;
    /** A second, of one member: far above what faults bring about, far below a storm. */
    private static final int MOST_DATAGRAMS = 150;
    /** Up to so many all watch all, so that which part is the smaller is known exactly. */
    private static final int ALL_WATCH = 9;
    /** What was suspected before may still be declared failed. */
    private static final long APART = 2 * SECOND;

    private static final int MOST_TURNS = 12;
    private static final long KNOWN_LEFT = 2 * SECOND;
    private static final long KNOWS_ITSELF_UNHEARD = 6 * SECOND;

    /** The first thing that must not be; null if nothing was. */
    record Broken(String rule, String text) {}

    private final MembersWorld world;
    private final SplittableRandom random;
    private final int members;
    /** Whom a fault troubles, until when; for ever while it lasts. */
    private final Map<Integer, Long> troubled = new HashMap<>();

    private final Map<Integer, Integer> blocked = new HashMap<>();
    private final Map<Integer, Long> startedAt = new HashMap<>();
    private final Set<Integer> busy = new HashSet<>();
    private final Map<String, Long> lives = new HashMap<>();
    private final Map<String, Integer> turns = new HashMap<>();
    private final Set<String> left = new HashSet<>();
    private int faults;
    private int looked;
    /** The first of the fewer; 0 while nobody is apart. */
    private int fewer;

    private long apartSince;
    private long lossyUntil;
    private Broken broken;
    private String log = "";

    MembersDay(long seed) {
        random = new SplittableRandom(seed);
        members = 3 + random.nextInt(10);
        world = new MembersWorld(members, seed, Ways.USUAL, UnaryOperator.identity());
    }

    /** Plays it; null if all held. */
    Broken play() {
        IntStream.range(0, members).forEach(world::start);
        world.run(3 * SECOND);
        long end = world.now() + DRAWN;
        while (world.now() < end && broken == null) {
            fault();
            world.run(SECOND / 2 + random.nextLong(4 * SECOND), this::look);
        }
        world.run(MOST_LASTS, this::look);
        if (broken == null && members > 4 && random.nextBoolean()) {
            int dead = random.nextInt(members);
            if (world.members(dead) != null) {
                log += " dies=" + dead;
                world.kill(dead);
            }
        }
        world.run(SETTLED, this::look);
        if (broken == null) {
            atTheEnd();
        }
        return broken;
    }

    /** What all views came to, for who looks for a cause. */
    List<Seen> seen() {
        return world.seen();
    }

    private void breaks(String rule, String text) {
        if (broken == null) {
            broken = new Broken(
                    rule,
                    text + " at=" + (world.now() - MembersWorld.BEGIN) / MILLI + "ms members=" + members + " faults:"
                            + log);
        }
    }

    private void fault() {
        int one = random.nextInt(members);
        long lasts = 300 * MILLI + random.nextLong(MOST_LASTS - 300 * MILLI);
        int kind = random.nextInt(11);
        if (busy.contains(one) || world.members(one) == null || kind >= 6 && kind != 9 && !busy.isEmpty()) {
            return;
        }
        log += " " + (world.now() - MembersWorld.BEGIN) / MILLI + ":" + kind + "/" + one + "/" + lasts / MILLI;
        int number = ++faults;
        switch (kind) {
            case 0, 1 ->
                befall(one, lasts, () -> world.pause(one, true), () -> {
                    boolean alone = world.members(one).present() == 1;
                    world.pause(one, false);
                    if (lasts > 500 * MILLI && !alone && world.members(one).doubt() == LocalHealthIssue.NONE) {
                        breaks("PAUSE", "one that stood still for " + lasts / MILLI + " ms does not doubt itself");
                    }
                });
            case 2, 3 ->
                befall(one, lasts, () -> world.kill(one), () -> {
                    world.clock(one, random.nextInt(3) == 0 ? -random.nextLong(3_600 * SECOND) : 0);
                    startedAt.put(one, world.now());
                    // Some stay where the list has them, or nobody could find anybody.
                    world.start(one, MembersWorld.name(one), one % 2 == 1 && random.nextInt(3) == 0 ? 7_001 : 7_000);
                });
            case 4 -> {
                String leaves =
                        " " + MembersWorld.name(one) + " " + world.members(one).life();
                // Unless it had only just started, so that not all knew it.
                boolean known = startedAt.getOrDefault(one, 0L) + KNOWN_LEFT < world.now();
                world.after(
                        KNOWN_LEFT,
                        () -> IntStream.range(0, members)
                                .filter(i -> known
                                        && i != one
                                        && world.members(i) != null
                                        && !isTroubled(i)
                                        && !busy.contains(i)
                                        && !left.contains(i + " " + world.process(i) + leaves)
                                        && !wasLossy())
                                .forEach(i -> breaks(
                                        "END",
                                        "router " + (i + 1) + " does not know that" + leaves + " said that it ends")));
                befall(one, lasts, () -> world.leave(one), () -> {
                    world.clock(one, 0);
                    world.start(one);
                });
            }
            case 5 -> {
                int other = (one + 1 + random.nextInt(members - 1)) % members;
                // A way that is cut is no trouble to him whom others hear.
                block(one, other, lasts);
                world.cut(one, other, true);
                world.after(lasts, () -> world.cut(one, other, false));
            }
            case 6 ->
                befall(one, lasts, () -> world.mute(one, true), () -> {
                    if (lasts > KNOWS_ITSELF_UNHEARD
                            && members > 3
                            && faults == number
                            && world.members(one).doubt() == LocalHealthIssue.NONE) {
                        breaks("UNHEARD", "one that nobody hears for " + lasts / MILLI + " ms does not doubt itself");
                    }
                    world.mute(one, false);
                });
            case 7 -> befall(one, lasts, () -> world.deaf(one, true), () -> world.deaf(one, false));
            case 8 -> {
                int apart = 1 + random.nextInt(members / 2);
                fewer = apart;
                apartSince = world.now();
                world.halve(apart, true);
                IntStream.range(0, members).forEach(i -> befall(i, lasts, () -> {}, () -> {}));
                world.after(lasts, () -> {
                    fewer = 0;
                    world.halve(apart, false);
                });
            }
            case 9 -> {
                lossyUntil = world.now() + lasts + AFTER;
                world.ways(random.nextBoolean() ? Ways.USUAL.losing(0.2) : new Ways(0.05, 0.5, 0.3, MILLI, 60 * MILLI));
                world.after(lasts, () -> world.ways(Ways.USUAL));
            }
            default -> {
                int other = (one + 1 + random.nextInt(members - 1)) % members;
                block(one, other, lasts);
                world.stall(one, other, true);
                world.after(lasts, () -> world.stall(one, other, false));
            }
        }
    }

    /** Whom others hear one way that is blocked is no trouble; more than one may be. */
    private void block(int from, int to, long lasts) {
        for (int each : new int[] {from, to}) {
            blocked.merge(each, 1, Integer::sum);
            if (blocked.get(each) > 1 || members == 3) {
                troubled.merge(each, world.now() + lasts + AFTER, Math::max);
            }
            world.after(lasts + AFTER, () -> blocked.merge(each, -1, Integer::sum));
        }
    }

    private void befall(int one, long lasts, Runnable begins, Runnable ends) {
        busy.add(one);
        troubled.put(one, Long.MAX_VALUE);
        begins.run();
        world.after(lasts, () -> {
            ends.run();
            busy.remove(one);
            troubled.put(one, world.now() + AFTER);
        });
    }

    private boolean wasLossy() {
        return world.now() < lossyUntil;
    }

    private boolean isTroubled(int one) {
        return troubled.getOrDefault(one, 0L) > world.now();
    }

    /** After each step: what views have come to. */
    private void look() {
        for (; looked < world.seen().size(); looked++) {
            look(world.seen().get(looked));
        }
    }

    private void look(Seen seen) {
        String name = seen.change().member();
        String why = seen.change().why();
        int of = Integer.parseInt(name.substring(name.indexOf('-') + 1)) - 1;
        // What one knew goes with its process.
        String pair = seen.by() + " " + world.process(seen.by()) + " " + name;
        boolean decides = why.contains(" by=" + MembersWorld.name(seen.by()) + " ");
        if (seen.change().kind() == Kind.FAILED && decides) {
            if (world.members(seen.by()) != null && world.members(seen.by()).doubt() != LocalHealthIssue.NONE) {
                breaks("DOUBT", seen + ": it declares one failed while it doubts itself");
            }
            if (fewer > 0
                    && world.now() - apartSince > APART
                    && seen.by() < fewer
                    && of >= fewer
                    && world.members(of) != null
                    && (members <= ALL_WATCH ? 2 : 3) * fewer <= members) {
                breaks("MINORITY", seen + ": one of the fewer declares one failed that is there");
            }
            if (world.members(of) != null && !isTroubled(of) && !isTroubled(seen.by())) {
                breaks("WRONG_DEATH", seen + ": it is there and no fault troubles it");
            }
        }
        if (seen.change().kind() == Kind.SUSPECTED
                && decides
                && world.members(of) != null
                && !isTroubled(of)
                && !isTroubled(seen.by())
                && !wasLossy()
                && busy.isEmpty()) {
            breaks("CUT", seen + ": others hear it, and can say so");
        }
        if (seen.change().kind() == Kind.SUSPECTED && decides && isPausedJustNow(seen.by())) {
            breaks("ACCUSED", seen + ": one that has just woken accuses");
        }
        if (why.startsWith("life=")) {
            long life = Long.parseLong(why.substring(5, why.indexOf(' ')));
            if (seen.change().kind() == Kind.JOINED && life < lives.getOrDefault(pair, 0L)) {
                breaks("OLD_LIFE", seen + ": a later life was known");
            }
            lives.merge(pair, life, Math::max);
            if (seen.change().kind() == Kind.LEFT) {
                left.add(pair + " " + life);
            }
            if (seen.change().kind() != Kind.LEFT
                    && seen.change().kind() != Kind.FORGOTTEN
                    && left.contains(pair + " " + life)) {
                breaks("LEFT_BACK", seen + ": it had said that it ends");
            }
            if (seen.change().kind() == Kind.RETURNED && turns.merge(pair + " " + life, 1, Integer::sum) > MOST_TURNS) {
                breaks("FLAPS", seen + ": again and again");
            }
        }
    }

    private boolean isPausedJustNow(int one) {
        return world.members(one) != null && world.members(one).doubt() == LocalHealthIssue.PAUSED;
    }

    private void atTheEnd() {
        List<Integer> up = new ArrayList<>();
        IntStream.range(0, members).filter(i -> world.members(i) != null).forEach(up::add);
        double seconds = (world.now() - MembersWorld.BEGIN) / 1e9;
        for (int i : up) {
            if (world.members(i).digest() != world.members(up.get(0)).digest()
                    || world.members(i).present() != up.size()) {
                breaks(
                        "ONE_VIEW",
                        "router " + (i + 1) + " sees " + world.members(i).view());
            }
            if (world.members(i).doubt() != LocalHealthIssue.NONE) {
                breaks(
                        "STILL_DOUBTS",
                        "router " + (i + 1) + " doubts=" + world.members(i).doubt());
            }
            for (MemberView view : world.members(i).view()) {
                if (view.state() == State.SUSPECT) {
                    breaks("STILL_SUSPECT", "router " + (i + 1) + " suspects " + view);
                }
            }
            if (world.members(i).count(Traffic.SENT) > seconds * MOST_DATAGRAMS) {
                breaks(
                        "LOAD",
                        "router " + (i + 1) + " has sent " + world.members(i).count(Traffic.SENT));
            }
        }
    }
}
