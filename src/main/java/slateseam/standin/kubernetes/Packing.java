package slateseam.standin.kubernetes;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.List;

/**
 * The slices of one service. As a rule a pod goes into the first slice with room, and a slice without pods is deleted
 * unless it is the last of its family. What else can be asked for is what controllers do at times, or by mistake.
 * Slices are numbered from 1 in the order in which they were made.
 */
public final class Packing {
    private static final int NAME_SPACE = 27 * 27 * 27 * 27 * 27;

    private final Cluster cluster;
    private final Service service;
    private final String uid;
    private final List<Slice> slices = new ArrayList<>();
    private boolean vanished;
    private int names;

    Packing(Cluster cluster, Service service) {
        this.cluster = cluster;
        this.service = service;
        this.uid = cluster.uid();
        if (service.ipv4()) {
            publish(make(false));
        }
        if (service.ipv6()) {
            publish(make(true));
        }
    }

    void add(String pod) {
        for (boolean v6 : new boolean[] {false, true}) {
            if (has(v6) && cluster.pod(pod).address(v6) != null) {
                Slice slice = slices.stream()
                        .filter(one -> one.v6 == v6 && one.pods.size() < service.perSlice())
                        .findFirst()
                        .orElseGet(() -> make(v6));
                slice.pods.add(pod);
                publish(slice);
            }
        }
    }

    private boolean has(boolean v6) {
        return v6 ? service.ipv6() : service.ipv4();
    }

    void changed(String pod) {
        slices.stream().filter(slice -> slice.pods.contains(pod)).toList().forEach(this::publish);
    }

    void remove(String pod) {
        for (Slice slice : new ArrayList<>(slices)) {
            if (slice.pods.remove(pod)) {
                settle(slice);
            }
        }
    }

    /** Publishes a slice that lost pods, or deletes it. */
    private void settle(Slice slice) {
        if (slice.pods.isEmpty()
                && slices.stream().filter(one -> one.v6 == slice.v6).count() > 1) {
            delete(slice);
        } else {
            publish(slice);
        }
    }

    /** Moves a pod into another slice; with a time between, in nanoseconds, both are published so far apart. */
    public void move(String pod, int to, boolean deletedFirst, long apartNanos) {
        Slice target = slice(to);
        Slice source = slices.stream()
                .filter(one -> one.v6 == target.v6 && one.pods.contains(pod))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no slice of this family holds " + pod));
        if (source == target) {
            throw new IllegalArgumentException(pod + " is in slice " + to + " already");
        }
        source.pods.remove(pod);
        target.pods.add(pod);
        if (deletedFirst) {
            settle(source);
            later(apartNanos, () -> publish(target));
        } else {
            publish(target);
            later(apartNanos, () -> settle(source));
        }
    }

    /** Tells of a pod in another slice as well. */
    public void copy(String pod, int to) {
        Slice target = slice(to);
        if (cluster.packingOf(pod) != this || cluster.pod(pod).address(target.v6) == null || !target.pods.add(pod)) {
            throw new IllegalArgumentException(pod + " cannot be told of in slice " + to);
        }
        publish(target);
    }

    /** Tells of a pod no more in one slice. */
    public void drop(String pod, int from) {
        Slice source = slice(from);
        if (!source.pods.remove(pod)) {
            throw new IllegalArgumentException("slice " + from + " does not hold " + pod);
        }
        settle(source);
    }

    /** Moves the second half of a slice into a new one, which is published first. */
    public void split(int number) {
        Slice source = slice(number);
        Slice target = make(source.v6);
        List<String> names = new ArrayList<>(source.pods);
        target.pods.addAll(names.subList((names.size() + 1) / 2, names.size()));
        publish(target);
        source.pods.removeAll(target.pods);
        publish(source);
    }

    /** Packs all pods anew into new slices of so many; the old ones are deleted first or last. */
    public void repack(int perSlice, boolean deletedFirst) {
        List<Slice> old = new ArrayList<>(slices);
        List<Slice> made = new ArrayList<>();
        for (boolean v6 : new boolean[] {false, true}) {
            List<String> names = old.stream()
                    .filter(one -> one.v6 == v6)
                    .flatMap(one -> one.pods.stream())
                    .distinct()
                    .sorted()
                    .toList();
            for (int i = 0; has(v6) && i < Math.max(1, names.size()); i += perSlice) {
                Slice slice = make(v6);
                slice.pods.addAll(names.subList(i, Math.min(names.size(), i + perSlice)));
                made.add(slice);
            }
        }
        if (deletedFirst) {
            old.forEach(this::delete);
        }
        made.forEach(this::publish);
        if (!deletedFirst) {
            old.forEach(this::delete);
        }
    }

    /** Deletes a slice and makes it anew under its name, with another uid, after so many nanoseconds. */
    public void recreate(int number, long apartNanos) {
        Slice slice = slice(number);
        cluster.store().delete(slice.name);
        slice.heldUntil = cluster.clock().now() + apartNanos;
        later(apartNanos, () -> {
            slice.uid = cluster.uid();
            slice.created = cluster.clock().now();
            publish(slice);
        });
    }

    /** All slices are published without endpoints by mistake, or with them again. */
    public void vanish(boolean gone) {
        vanished = gone;
        slices.forEach(this::publish);
    }

    /** The controller gets round to a slice only after so many nanoseconds. */
    public void lag(int number, long nanos) {
        Slice slice = slice(number);
        slice.heldUntil = cluster.clock().now() + nanos;
        later(nanos, () -> publish(slice));
    }

    /** Sets a label of one slice, or takes it off where the value is null. */
    public void label(int number, String key, String value) {
        Slice slice = slice(number);
        if (value == null) {
            slice.labels.remove(key);
        } else {
            slice.labels.put(key, value);
        }
        publish(slice);
    }

    /** Sets an annotation of one slice, or takes it off where the value is null. */
    public void annotate(int number, String key, String value) {
        Slice slice = slice(number);
        if (value == null) {
            slice.annotations.remove(key);
        } else {
            slice.annotations.put(key, value);
        }
        publish(slice);
    }

    /** The slices' names in the order of their numbers. */
    public List<String> names() {
        return slices.stream().map(slice -> slice.name).toList();
    }

    void lines(Collection<String> lines) {
        for (Slice slice : vanished ? List.<Slice>of() : slices) {
            slice.pods.forEach(pod -> lines.add(cluster.pod(pod).line(slice.name, slice.v6)));
        }
    }

    private Slice slice(int number) {
        if (number < 1 || number > slices.size()) {
            throw new IllegalArgumentException("there is no slice " + service.name() + '/' + number);
        }
        return slices.get(number - 1);
    }

    private Slice make(boolean v6) {
        // Five letters as the API makes them up, but the same in each run and never twice: the factor is prime to 27.
        String letters = Integer.toString((int) (names++ * 7_654_321L % NAME_SPACE), 27);
        Slice slice = new Slice(
                service.name() + '-' + "0".repeat(Math.max(0, 5 - letters.length())) + letters,
                cluster.uid(),
                v6,
                cluster.clock().now());
        slices.add(slice);
        return slice;
    }

    private void later(long nanos, Runnable action) {
        if (nanos == 0) {
            action.run();
        } else {
            cluster.clock().at(cluster.clock().now() + nanos, action);
        }
    }

    private void publish(Slice slice) {
        if (!slices.contains(slice) || cluster.clock().now() < slice.heldUntil) {
            return;
        }
        List<Pod> endpoints = new ArrayList<>();
        for (Iterator<String> names = slice.pods.iterator(); !vanished && names.hasNext(); ) {
            endpoints.add(cluster.pod(names.next()));
        }
        cluster.store().put(slice.name, version -> slice.stored(version, cluster.namespace(), service, uid, endpoints));
    }

    private void delete(Slice slice) {
        slices.remove(slice);
        if (cluster.store().get(slice.name) != null) {
            cluster.store().delete(slice.name);
        }
    }
}
