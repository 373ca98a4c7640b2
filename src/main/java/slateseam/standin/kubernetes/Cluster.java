package slateseam.standin.kubernetes;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.UUID;
import java.util.function.UnaryOperator;
import slateseam.standin.Clockwork;

/**
 * The truth of a namespace: services, pods, and the slices into which a controller packs them. What is asked of it and
 * cannot be done is an {@link IllegalArgumentException} that says why.
 */
public final class Cluster {
    private final String namespace;
    private final Clockwork clock;
    private final SliceStore store;
    private final Map<String, Packing> services = new LinkedHashMap<>();
    private final Map<String, Pod> pods = new LinkedHashMap<>();
    private final Map<String, Packing> serviceOf = new LinkedHashMap<>();
    private int uids;

    /** Makes an empty namespace whose API remembers so many changes, 1 or more. */
    public Cluster(String namespace, Clockwork clock, int mostChanges) {
        this.namespace = namespace;
        this.clock = clock;
        this.store = new SliceStore(mostChanges);
    }

    /** Its name. */
    public String namespace() {
        return namespace;
    }

    /** Adds a service without pods. */
    public void service(Service service) {
        if (services.containsKey(service.name())) {
            throw new IllegalArgumentException("there is a service " + service.name() + " already");
        }
        services.put(service.name(), new Packing(this, service));
    }

    /** Adds a pod to a service; it gets a uid here. */
    public void add(String service, Pod pod) {
        Packing packing = packing(service);
        if (pods.containsKey(pod.name())) {
            throw new IllegalArgumentException("there is a pod " + pod.name() + " already");
        }
        store.pass();
        pods.put(pod.name(), pod.renewed(uid()));
        serviceOf.put(pod.name(), packing);
        packing.add(pod.name());
    }

    /** Changes a pod, and the slices that tell of it. */
    public void change(String name, UnaryOperator<Pod> how) {
        Pod other = how.apply(pod(name));
        store.pass();
        pods.put(name, other);
        serviceOf.get(name).changed(name);
    }

    /** Makes a pod anew, with the name and the address that it had. */
    public void restart(String name) {
        change(name, pod -> pod.renewed(uid()));
    }

    /** Deletes a pod. */
    public void remove(String name) {
        pod(name);
        store.pass();
        serviceOf.remove(name).remove(name);
        pods.remove(name);
    }

    /** A pod that is there. */
    public Pod pod(String name) {
        Pod pod = pods.get(name);
        if (pod == null) {
            throw new IllegalArgumentException("there is no pod " + name);
        }
        return pod;
    }

    boolean has(String pod) {
        return pods.containsKey(pod);
    }

    /** All pods, in the order in which they were added. */
    public Collection<Pod> pods() {
        return new ArrayList<>(pods.values());
    }

    /** How the controller packs a service. */
    public Packing packing(String service) {
        Packing packing = services.get(service);
        if (packing == null) {
            throw new IllegalArgumentException("there is no service " + service);
        }
        return packing;
    }

    /**
     * What the slices of a service tell now, once all that is held back has been published: a line of
     * {@link Pod#line} for each endpoint of each slice, in the lines' order.
     */
    public List<String> truth(String service) {
        TreeSet<String> lines = new TreeSet<>();
        packing(service).lines(lines);
        return new ArrayList<>(lines);
    }

    Packing packingOf(String pod) {
        pod(pod);
        return serviceOf.get(pod);
    }

    Clockwork clock() {
        return clock;
    }

    SliceStore store() {
        return store;
    }

    /** A new one; the same in each run. */
    String uid() {
        return UUID.nameUUIDFromBytes((namespace + '/' + uids++).getBytes(StandardCharsets.UTF_8))
                .toString();
    }
}
