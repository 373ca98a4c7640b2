package slateseam.simulate.tier;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import slateseam.simulate.tier.MembersDay.Broken;
import slateseam.simulate.tier.MembersWorld.Ways;
import slateseam.tier.policy.PolicySettings;
import slateseam.tier.policy.Version;

/** Changes of policy and faults, drawn from a seed, at four to nine routers of which three or five vote. */
final class PolicyDay {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final long DRAWN = 50 * SECOND;
    private static final long MOST_LASTS = 6 * SECOND;
    private static final long SETTLED = 20 * SECOND;
    private static final long HOLD = PolicySettings.usual(0, 1, Set.of()).holdNanos();
    /** With elections meanwhile, each of which may set the time anew for those who had not heard it. */
    private static final long BOUND = 2 * HOLD + 3 * SECOND;

    private final SplittableRandom random;
    private final int voters;
    private final PolicyWorld world;
    private final Set<Integer> weak = new HashSet<>();
    private int changes;
    private String log = "";

    PolicyDay(long seed) {
        random = new SplittableRandom(seed);
        voters = random.nextInt(3) == 0 ? 5 : 3;
        world = new PolicyWorld(voters, voters + 1 + random.nextInt(4), seed, Ways.USUAL, BOUND);
    }

    /** Plays it; null if all held. */
    Broken play() {
        run(SECOND);
        world.begin();
        run(6 * SECOND);
        if (world.broken() == null && !world.isWhole()) {
            return new Broken("BEGIN", world.look());
        }
        long end = world.net().now() + DRAWN;
        propose(end);
        while (world.net().now() < end && world.broken() == null) {
            fault();
            run(SECOND / 2 + random.nextLong(4 * SECOND));
        }
        run(MOST_LASTS + SETTLED);
        Version last = world.propose(world.size() - 1, "last", "last", true, 0);
        run(HOLD + 2 * SECOND);
        if (world.broken() == null && (!"last".equals(world.held(0)) || !world.isWhole())) {
            return new Broken("NO_PROGRESS", world.policy(0).outcome(last) + " " + world.look() + log);
        }
        return world.broken() == null
                ? null
                : new Broken(world.broken().rule(), world.broken().text() + log);
    }

    private void run(long nanos) {
        world.net().run(nanos, () -> {});
    }

    private void propose(long end) {
        int at = random.nextInt(world.size());
        int number = changes++;
        boolean bad = random.nextInt(4) == 0;
        String document = bad
                ? PolicyWorld.REFUSED_BY + random.nextInt(world.size()) + ";"
                : "document " + number + " " + "x".repeat(random.nextInt(3_000));
        switch (random.nextInt(8)) {
            case 0 -> {
                say("undo at " + at);
                world.undo(at);
            }
            case 1 -> {
                say("two at once");
                world.propose(at, "change-" + number, document, random.nextBoolean(), 1);
                world.propose((at + 1) % world.size(), "other-" + number, "other " + number, random.nextBoolean(), 1);
            }
            default -> {
                say("propose " + number + " at " + at + (bad ? " bad" : ""));
                world.propose(at, "change-" + number, document, random.nextBoolean(), random.nextInt(3));
            }
        }
        if (world.net().now() < end) {
            world.net().after(SECOND / 2 + random.nextLong(8 * SECOND), () -> propose(end));
        }
    }

    private void say(String what) {
        log += String.format(Locale.ROOT, " [%.1f %s]", (world.net().now() - MembersWorld.BEGIN) / 1e9, what);
    }

    private void fault() {
        int any = random.nextInt(4) == 0 && world.leader() >= 0 ? world.leader() : random.nextInt(world.size());
        int other = (any + 1 + random.nextInt(world.size() - 1)) % world.size();
        long lasts = 100 * MILLI + random.nextLong(MOST_LASTS);
        switch (random.nextInt(11)) {
            case 0, 1 -> lasting("pause " + any, lasts, on -> world.pause(any, on));
            case 2 ->
                lasting("cut " + any + ">" + other, lasts, on -> world.net().cut(any, other, on));
            case 3 ->
                lasting("mute " + any, lasts, on -> {
                    world.net().mute(any, world.size(), on);
                    world.apart(any, on);
                });
            case 4 ->
                lasting("deaf " + any, lasts, on -> {
                    world.net().deaf(any, world.size(), on);
                    world.doubts(any, on);
                });
            case 5 -> {
                int first = 1 + random.nextInt(world.size() - 1);
                lasting("halve " + first, lasts, on -> halve(first, on));
            }
            case 6 ->
                lasting(
                        "loss",
                        lasts,
                        on -> world.net().ways(on ? new Ways(0.3, 0.1, 0.3, MILLI, 30 * MILLI) : Ways.USUAL));
            case 7 ->
                lasting("stall " + any + ">" + other, lasts, on -> world.net().stall(any, other, on));
            case 8 -> kill(any, lasts, false);
            case 9 -> kill(any, lasts, true);
            default -> {
                if (any < voters) {
                    lasting(
                            "slow force " + any,
                            lasts,
                            on -> world.memory(any).forceNanos = on ? 5 * SECOND : 2 * MILLI);
                }
            }
        }
    }

    /** Those of the smaller part doubt themselves, and the others cannot know that they are there. */
    private void halve(int first, boolean on) {
        world.net().halve(first, world.size(), on);
        boolean firstFewer = 2 * first <= world.size();
        for (int i = 0; i < world.size(); i++) {
            if (i < first == firstFewer || 2 * first == world.size()) {
                world.apart(i, on);
            }
        }
    }

    private void lasting(String what, long lasts, Consumer<Boolean> does) {
        say(what);
        does.accept(true);
        world.net().after(lasts, () -> does.accept(false));
    }

    /** Memories are lost at a minority at once only: beyond that the group is over, as the note says. */
    private void kill(int victim, long lasts, boolean emptied) {
        if (!world.isUp(victim) || emptied && victim < voters && weak.size() >= (voters - 1) / 2) {
            return;
        }
        if (victim < voters && !weak.add(victim)) {
            return;
        }
        say("kill " + victim + (emptied ? " emptied" : ""));
        world.pause(victim, false);
        world.kill(victim);
        if (emptied) {
            world.memory(victim).empty();
        }
        world.net().after(lasts, () -> world.start(victim));
        world.net().after(lasts + SECOND, () -> strong(victim));
    }

    private void strong(int victim) {
        List<Integer> known = new ArrayList<>();
        for (int i = 0; i < world.size(); i++) {
            if (world.isUp(i)
                    && world.isUp(victim)
                    && world.policy(i)
                            .raft()
                            .seats()
                            .contains(world.policy(victim).raft().self())) {
                known.add(i);
            }
        }
        if (2 * known.size() > voters
                && !world.policy(victim).raft().role().name().equals("UNSURE")) {
            weak.remove(victim);
        } else {
            world.net().after(SECOND, () -> strong(victim));
        }
    }
}
