package slateseam.router.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/**
 * Random histories of slices that are written one at a time, as a controller does: pods start, drain, flap and vanish,
 * move between slices and stand in two, slices are repacked, deleted and made anew. They are told out of order, late
 * and twice, with lists in between.
 */
class HistoriesPropertyTest {
    private static final int SEEDS = 300;
    private static final int STEPS = 250;
    private static final int REACH = 12;

    /** What was written: the slice, or its last state where it was deleted. */
    private record Event(Slice slice, boolean deleted) {}

    /** A cluster as it truly is, and all that was ever written. */
    private static final class Cluster {
        final Random random;
        /** Pods by number: empty ready, - not ready, x terminating. */
        final TreeMap<Integer, String> pods = new TreeMap<>();
        /** Pods by slices; the pod's state is as last written. */
        final TreeMap<String, TreeMap<Integer, String>> slices = new TreeMap<>();

        final Map<String, String> uids = new HashMap<>();
        final Map<String, Slice> written = new TreeMap<>();
        final List<Event> events = new ArrayList<>();
        /** Writes that are still to be made, in their order. */
        final List<Runnable> pending = new ArrayList<>();

        long version = 100;
        int made;

        Cluster(Random random) {
            this.random = random;
            for (String name : List.of("a", "b", "c")) {
                make(name);
                for (int i = 0; i < 6; i++) {
                    start(name);
                }
                write(name);
            }
        }

        void make(String name) {
            slices.put(name, new TreeMap<>());
            uids.put(name, "u" + made++);
        }

        void start(String name) {
            pods.put(made, "");
            slices.get(name).put(made++, "");
        }

        String any() {
            return new ArrayList<>(slices.keySet()).get(random.nextInt(slices.size()));
        }

        /** Writes a slice with the states as they are now. */
        void write(String name) {
            if (slices.containsKey(name)) {
                slices.get(name).keySet().removeIf(pod -> !pods.containsKey(pod));
                slices.get(name).replaceAll((pod, state) -> pods.get(pod));
                Slice slice = slice(name);
                written.put(name, slice);
                events.add(new Event(slice, false));
            }
        }

        Slice slice(String name) {
            String all = slices.get(name).entrySet().stream()
                    .map(e -> e.getKey() + e.getValue())
                    .collect(Collectors.joining(" "));
            return new Slice(name, uids.get(name), ++version, false, 1, Told.endpoints(all), Map.of(), Map.of());
        }

        void delete(String name) {
            if (slices.size() > 1 && slices.containsKey(name)) {
                events.add(new Event(slice(name), true));
                slices.remove(name);
                written.remove(name);
            }
        }

        void step() {
            if (!pending.isEmpty() && random.nextInt(3) > 0) {
                pending.remove(0).run();
                return;
            }
            String from = any();
            String to = any();
            List<Integer> there = new ArrayList<>(slices.get(from).keySet());
            Integer pod = there.isEmpty() ? null : there.get(random.nextInt(there.size()));
            switch (random.nextInt(9)) {
                case 0 -> {
                    start(from);
                    write(from);
                }
                case 1, 2, 3 -> {
                    if (pod != null && pods.containsKey(pod) && !pods.get(pod).equals("x")) {
                        pods.put(pod, List.of("", "-", "x").get(random.nextInt(3)));
                        new ArrayList<>(slices.keySet())
                                .stream()
                                        .filter(s -> slices.get(s).containsKey(pod))
                                        .forEach(s -> pending.add(() -> write(s)));
                    }
                }
                case 4 -> {
                    if (pod != null && ("x".equals(pods.get(pod)) || random.nextInt(4) == 0)) {
                        pods.remove(pod);
                        List.copyOf(slices.keySet()).forEach(s -> pending.add(() -> write(s)));
                    }
                }
                case 5, 6 -> move(pod, from, to);
                case 7 -> {
                    String name = random.nextBoolean() ? from : "n" + made;
                    TreeMap<Integer, String> all = slices.get(from);
                    if (name.equals(from)) {
                        delete(from);
                    }
                    if (!slices.containsKey(name)) {
                        make(name);
                        slices.get(name).putAll(all);
                        write(name);
                        pending.add(() -> delete(from.equals(name) ? "none" : from));
                    }
                }
                default -> write(from);
            }
        }

        void move(Integer pod, String from, String to) {
            if (pod == null || from.equals(to)) {
                return;
            }
            Runnable add = () -> {
                if (slices.containsKey(to)) {
                    slices.get(to).put(pod, "");
                    write(to);
                }
            };
            Runnable drop = () -> {
                if (slices.containsKey(from)
                        && slices.getOrDefault(to, new TreeMap<>()).containsKey(pod)) {
                    slices.get(from).remove(pod);
                    write(from);
                }
            };
            if (random.nextBoolean()) {
                slices.get(from).remove(pod);
                write(from);
                pending.add(add);
            } else {
                add.run();
                pending.add(drop);
            }
        }

        String truth() {
            return slices.values().stream()
                    .flatMap(s -> s.keySet().stream())
                    .distinct()
                    .sorted()
                    .map(pod -> pod + (pods.get(pod).isEmpty() ? "" : "x"))
                    .collect(Collectors.joining(" "));
        }
    }

    private Cluster cluster;
    private Told told;
    /** The newest view of each pod that was seen, and whether it drains in it. */
    private final Map<String, Long> seen = new HashMap<>();

    private final Map<String, Boolean> drains = new HashMap<>();
    private final Map<String, Long> born = new HashMap<>();
    private long listedAt;

    @Test
    void everyHistoryEndsInTheTruthAndNoDrainedServerIsEverReady() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            history(new Random(seed), "seed " + seed);
        }
    }

    private void history(Random random, String seed) {
        cluster = new Cluster(random);
        told = new Told();
        born.clear();
        list();
        int next = cluster.events.size();
        List<Event> waiting = new ArrayList<>();
        for (int step = 0; step < STEPS; step++) {
            cluster.step();
            for (; next < cluster.events.size(); next++) {
                waiting.add(cluster.events.get(next));
            }
            while (waiting.size() > random.nextInt(REACH)) {
                tell(waiting.remove(random.nextInt(Math.min(REACH, waiting.size()))), random);
                check(seed);
            }
            if (random.nextInt(8) == 0) {
                tell(cluster.events.get(random.nextInt(cluster.events.size())), random);
                check(seed);
            }
            if (random.nextInt(60) == 0) {
                list();
                check(seed);
            }
            if (random.nextInt(40) == 0) {
                Told old = told;
                told = new Told();
                told.now = old.now;
                told.membership.restore(old.membership.remembered(), told.now);
                assertThat(told.servers()).as(seed).isEqualTo(old.servers());
            }
            told.after(random.nextInt(60));
        }
        cluster.pending.forEach(Runnable::run);
        List.copyOf(cluster.slices.keySet()).forEach(cluster::write);
        waiting.addAll(cluster.events.subList(next, cluster.events.size()));
        while (!waiting.isEmpty()) {
            tell(waiting.remove(random.nextInt(Math.min(REACH, waiting.size()))), random);
            check(seed);
        }
        told.after(20_000);
        if (told.membership.nextLook() <= told.now) {
            list();
        }
        assertThat(told.after(20_000).pods()).as(seed).isEqualTo(cluster.truth());
    }

    private void list() {
        listedAt = ++cluster.version;
        seen.clear();
        drains.clear();
        cluster.written.values().forEach(this::see);
        told.membership.listed(List.copyOf(cluster.written.values()), Long.toString(listedAt), told.now);
    }

    private void tell(Event event, Random random) {
        Slice slice = event.slice;
        if (slice.version() > listedAt) {
            see(slice);
        }
        if (!event.deleted) {
            told.membership.changed(slice, told.now);
        } else {
            told.membership.deleted(slice, told.now);
        }
    }

    private void see(Slice slice) {
        for (Endpoint endpoint : slice.endpoints()) {
            if (slice.version() > seen.getOrDefault(endpoint.targetUid(), -1L)) {
                seen.put(endpoint.targetUid(), slice.version());
                drains.put(endpoint.targetUid(), !endpoint.takesNew());
            }
        }
    }

    private void check(String seed) {
        for (Server server : told.servers()) {
            if (server.ready()) {
                assertThat(drains.getOrDefault(server.name(), false))
                        .as(seed + " drained " + server.name())
                        .isFalse();
                assertThat(born.merge(server.name(), server.bornAtNanos(), (a, b) -> a))
                        .as(seed + " born")
                        .isEqualTo(server.bornAtNanos());
            }
        }
    }
}
