package slateseam.simulate.tier;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import slateseam.simulate.tier.MembersDay.Broken;
import slateseam.simulate.tier.MembersWorld.Ways;
import slateseam.tier.agreement.RaftSettings;

/** Faults drawn from a seed befall three or five who agree on a log, and what they come to is checked from outside. */
final class AgreementDay {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final long DRAWN = 40 * SECOND;
    private static final long MOST_LASTS = 6 * SECOND;
    /** After the last fault, until all have the same and may go on. */
    private static final long SETTLED = 20 * SECOND;

    private static final int KEPT = 24;

    private final AgreementWorld world;
    private final SplittableRandom random;
    private final int voters;
    /** Whose memory, or process, is not to be relied on now. */
    private final Set<Integer> weak = new HashSet<>();

    private int commands;
    /** Faults of ways and processes that last now. */
    private int troubles;

    private long quietUntil;
    private String log = "";

    AgreementDay(long seed) {
        random = new SplittableRandom(seed);
        voters = random.nextInt(3) == 0 ? 5 : 3;
        world = new AgreementWorld(voters, voters + 1, seed, Ways.USUAL, new RaftSettings(100 * MILLI, 6, KEPT, true));
    }

    /** Plays it; null if all held. */
    Broken play() {
        world.net().run(4 * SECOND, () -> {});
        if (world.broken() == null && !world.isWhole()) {
            return new Broken("BEGIN", world.look());
        }
        long end = world.net().now() + DRAWN;
        propose(end);
        while (world.net().now() < end && world.broken() == null) {
            fault();
            world.net().run(SECOND / 2 + random.nextLong(3 * SECOND), () -> {});
        }
        world.net().run(MOST_LASTS + SETTLED, () -> {});
        if (world.broken() != null) {
            return new Broken(world.broken().rule(), world.broken().text() + log);
        }
        if (!world.isWhole()) {
            return new Broken("NOT_WHOLE", world.look() + log);
        }
        String last = "last";
        world.propose(last);
        world.net().run(SECOND, () -> {});
        return world.times(last) == null ? new Broken("NO_PROGRESS", world.look() + log) : null;
    }

    private void propose(long end) {
        world.propose("c" + commands++);
        if (world.net().now() < end) {
            world.net().after(30 * MILLI + random.nextLong(600 * MILLI), () -> propose(end));
        }
    }

    private void say(String fault) {
        log += String.format(
                java.util.Locale.ROOT, " [%.1f %s]", (world.net().now() - MembersWorld.BEGIN) / 1e9, fault);
    }

    /** One that is neither down nor with a weak memory, if a majority of such is left without it; -1 for none. */
    private int victim() {
        List<Integer> may = new ArrayList<>(world.wanted());
        may.removeAll(weak);
        return weak.size() >= (voters - 1) / 2 ? -1 : may.get(random.nextInt(may.size()));
    }

    private void fault() {
        if (world.net().now() < quietUntil) {
            return;
        }
        int any = random.nextInt(world.size());
        int other = (any + 1 + random.nextInt(world.size() - 1)) % world.size();
        long lasts = 100 * MILLI + random.nextLong(MOST_LASTS);
        switch (random.nextInt(14)) {
            case 0 -> {
                say("pause " + any);
                world.pause(any, true);
                troubles++;
                world.net().after(lasts, () -> {
                    world.pause(any, false);
                    troubles--;
                });
            }
            case 1 ->
                lasting("cut " + any + ">" + other, lasts, on -> world.net().cut(any, other, on));
            case 2 -> lasting("mute " + any, lasts, on -> world.net().mute(any, world.size(), on));
            case 3 -> lasting("deaf " + any, lasts, on -> world.net().deaf(any, world.size(), on));
            case 4 -> lasting("halve", lasts, on -> world.net().halve(1 + any % (world.size() - 1), world.size(), on));
            case 5 ->
                lasting(
                        "loss",
                        lasts,
                        on -> world.net().ways(on ? new Ways(0.3, 0.1, 0.3, MILLI, 30 * MILLI) : Ways.USUAL));
            case 6 ->
                lasting("stall " + any + ">" + other, lasts, on -> world.net().stall(any, other, on));
            case 7 -> restart(victim(), lasts, "", () -> {});
            case 8 -> {
                int victim = victim();
                restart(victim, lasts, "emptied", () -> world.memory(victim).empty());
            }
            case 9 -> {
                int victim = victim();
                restart(victim, lasts, "flipped", () -> world.memory(victim).flip());
            }
            case 10 -> {
                int victim = victim();
                if (victim >= 0 && world.isUp(victim)) {
                    say("force lies " + victim);
                    weak.add(victim);
                    world.memory(victim).lies = true;
                    world.net().after(lasts, () -> {
                        weak.remove(victim);
                        // What only one knew whom it cannot hear now is not found: the note says so.
                        boolean all = troubles == 0;
                        quietUntil = all ? world.net().now() + lasts + 4 * SECOND : 0;
                        restart(victim, lasts, "with what was forced in truth", () -> {
                            if (!all) {
                                world.memory(victim).empty();
                            }
                        });
                    });
                }
            }
            case 11 -> {
                int victim = victim();
                if (victim >= 0) {
                    lasting(
                            "slow force " + victim,
                            lasts,
                            on -> world.memory(victim).forceNanos = on ? 5 * SECOND : 2 * MILLI);
                }
            }
            case 12 -> all(lasts);
            default -> swap();
        }
    }

    private void lasting(String what, long lasts, java.util.function.Consumer<Boolean> does) {
        say(what);
        does.accept(true);
        troubles++;
        world.net().after(lasts, () -> {
            does.accept(false);
            troubles--;
        });
    }

    private void restart(int victim, long lasts, String how, Runnable meanwhile) {
        if (victim < 0 || !world.isUp(victim) || !weak.add(victim)) {
            return;
        }
        say("kill " + victim + " " + how);
        world.kill(victim);
        meanwhile.run();
        world.net().after(lasts, () -> world.start(victim));
        // It has to be taken in again before another's memory may go.
        world.net().after(lasts + 2 * SECOND, () -> strong(victim));
    }

    private void strong(int victim) {
        if (world.isSeated(victim) || !world.wanted().contains(victim)) {
            weak.remove(victim);
        } else {
            world.net().after(SECOND, () -> strong(victim));
        }
    }

    /** The power goes everywhere at once, as long as all memories can be relied on. */
    private void all(long lasts) {
        if (weak.isEmpty()) {
            say("kill all");
            for (int i = 0; i < world.size(); i++) {
                if (world.isUp(i)) {
                    int victim = i;
                    weak.add(victim);
                    world.kill(victim);
                    world.net().after(lasts + random.nextLong(SECOND), () -> world.start(victim));
                    world.net().after(lasts + 2 * SECOND, () -> strong(victim));
                }
            }
        }
    }

    /** Another router is to vote in the place of one. */
    private void swap() {
        TreeSet<Integer> wanted = world.wanted();
        int out = new ArrayList<>(wanted).get(random.nextInt(wanted.size()));
        for (int i = 0; i < world.size() && weak.isEmpty(); i++) {
            if (!wanted.contains(i)) {
                say("vote " + i + " for " + out);
                wanted.remove(out);
                wanted.add(i);
                world.want(wanted);
                int in = i;
                weak.add(in);
                strong(in);
                return;
            }
        }
    }
}
