package slateseam.standin.kubernetes;

import java.util.Map;

/**
 * One version of a slice as the API keeps it.
 *
 * @param name unique in the namespace
 * @param version of the last change, growing over all objects
 * @param labels what selectors look at
 * @param body its JSON text without kind and version of the API, and without the opening brace
 */
record Stored(String name, long version, Map<String, String> labels, String body) {
    private static final String KIND = "{\"kind\":\"EndpointSlice\",\"apiVersion\":\"discovery.k8s.io/v1\",";

    /** As it stands in a list, where single items tell no kind. */
    String item() {
        return '{' + body;
    }

    /** As it stands in an event or by itself. */
    String whole() {
        return KIND + body;
    }

    /** The same as of another version, as the event of a deletion shows it. */
    Stored at(long other) {
        String key = "\"resourceVersion\":\"";
        // The first one is the object's own: only its name, namespace and uid stand before it.
        int start = body.indexOf(key) + key.length();
        int end = body.indexOf('"', start);
        return new Stored(name, other, labels, body.substring(0, start) + other + body.substring(end));
    }

    /** What a bookmark shows: nothing but a version. */
    static String bookmark(long version) {
        return KIND + "\"metadata\":{\"resourceVersion\":\"" + version
                + "\",\"creationTimestamp\":null},\"addressType\":\"\",\"endpoints\":null,\"ports\":null}";
    }
}
