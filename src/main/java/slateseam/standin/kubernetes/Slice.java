package slateseam.standin.kubernetes;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.json.JSONString;
import org.json.JSONStringer;
import org.json.JSONWriter;

/** A slice of a service as the controller holds it; it is published as {@link Stored}. */
final class Slice {
    private static final long SECOND = 1_000_000_000;
    private static final String MANAGER = "endpointslice-controller.k8s.io";

    final String name;
    final boolean v6;
    /** Names of its pods. */
    final Set<String> pods = new LinkedHashSet<>();
    /** Beside those of its service. */
    final Map<String, String> labels = new TreeMap<>();
    /** Beside those of its service. */
    final Map<String, String> annotations = new TreeMap<>();

    String uid;
    long created;
    /** Until this time the controller does not get round to it. */
    long heldUntil;

    private int generation;
    /** What was told of each pod last; most stay as they were. */
    private final Map<String, Told> told = new HashMap<>();

    private record Told(Pod pod, String toJSONString) implements JSONString {}

    Slice(String name, String uid, boolean v6, long created) {
        this.name = name;
        this.uid = uid;
        this.v6 = v6;
        this.created = created;
    }

    /** Its state as the API keeps it from now on. */
    Stored stored(long version, String namespace, Service service, String serviceUid, Collection<Pod> endpoints) {
        Map<String, String> allLabels = new TreeMap<>(service.labels());
        allLabels.put("endpointslice.kubernetes.io/managed-by", MANAGER);
        allLabels.put("kubernetes.io/service-name", service.name());
        allLabels.putAll(labels);
        Map<String, String> allAnnotations = new TreeMap<>(service.annotations());
        allAnnotations.putAll(annotations);
        JSONWriter json = new JSONStringer()
                .object()
                .key("metadata")
                .object()
                .key("name")
                .value(name)
                .key("namespace")
                .value(namespace)
                .key("uid")
                .value(uid)
                .key("resourceVersion")
                .value(Long.toString(version))
                .key("generateName")
                .value(service.name() + '-')
                .key("generation")
                .value(++generation)
                .key("creationTimestamp")
                .value(time())
                .key("labels")
                .value(allLabels);
        if (!allAnnotations.isEmpty()) {
            json.key("annotations").value(allAnnotations);
        }
        json.key("ownerReferences")
                .array()
                .object()
                .key("apiVersion")
                .value("v1")
                .key("kind")
                .value("Service")
                .key("name")
                .value(service.name())
                .key("uid")
                .value(serviceUid)
                .key("controller")
                .value(true)
                .key("blockOwnerDeletion")
                .value(true)
                .endObject()
                .endArray()
                .endObject();
        json.key("addressType").value(v6 ? "IPv6" : "IPv4").key("endpoints");
        if (endpoints.isEmpty()) {
            // A list of none is told as null.
            json.value(null).key("ports").value(null);
        } else {
            told.keySet().retainAll(pods);
            json.array();
            for (Pod pod : endpoints) {
                Told now = told.get(pod.name());
                if (now == null || now.pod != pod) {
                    now = new Told(pod, endpoint(namespace, pod, service.hints()));
                    told.put(pod.name(), now);
                }
                json.value(now);
            }
            json.endArray().key("ports").array();
            for (Service.Port port : service.ports()) {
                json.object()
                        .key("name")
                        .value(port.name())
                        .key("port")
                        .value(port.number())
                        .key("protocol")
                        .value("TCP")
                        .endObject();
            }
            json.endArray();
        }
        return new Stored(name, version, allLabels, json.endObject().toString().substring(1));
    }

    private String time() {
        return Instant.ofEpochSecond(created / SECOND)
                .truncatedTo(ChronoUnit.SECONDS)
                .toString();
    }

    private String endpoint(String namespace, Pod pod, boolean hints) {
        JSONWriter json = new JSONStringer();
        json.object()
                .key("addresses")
                .array()
                .value(pod.address(v6))
                .endArray()
                .key("conditions")
                .object();
        condition(json, "ready", pod.ready());
        condition(json, "serving", pod.serving());
        condition(json, "terminating", pod.terminating());
        json.endObject()
                .key("hostname")
                .value(pod.name())
                .key("targetRef")
                .object()
                .key("kind")
                .value("Pod")
                .key("namespace")
                .value(namespace)
                .key("name")
                .value(pod.name())
                .key("uid")
                .value(pod.uid())
                .endObject()
                .key("nodeName")
                .value(pod.node())
                .key("zone")
                .value(pod.zone());
        if (hints) {
            json.key("hints")
                    .object()
                    .key("forZones")
                    .array()
                    .object()
                    .key("name")
                    .value(pod.zone())
                    .endObject()
                    .endArray()
                    .endObject();
        }
        return json.endObject().toString();
    }

    private static void condition(JSONWriter json, String name, Boolean value) {
        if (value != null) {
            json.key(name).value(value.booleanValue());
        }
    }
}
