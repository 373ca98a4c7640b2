package slateseam.standin.kubernetes;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The paths that the API knows, and what it says of itself. */
final class Paths {
    private static final Pattern SLICES = Pattern.compile(
            "/apis/discovery\\.k8s\\.io/v1(?:/namespaces/([a-z0-9.-]+))?/endpointslices(?:/([a-z0-9.-]+))?");
    private static final String VERSION = "{\"groupVersion\":\"discovery.k8s.io/v1\",\"version\":\"v1\"}";
    private static final String GROUP =
            "\"name\":\"discovery.k8s.io\",\"versions\":[" + VERSION + "],\"preferredVersion\":" + VERSION + '}';

    private Paths() {}

    /** The namespace and the name, each empty if it lacks; null if the path is not that of slices. */
    static String[] slices(String path) {
        Matcher matcher = SLICES.matcher(path);
        return !matcher.matches()
                ? null
                : new String[] {
                    matcher.group(1) == null ? "" : matcher.group(1), matcher.group(2) == null ? "" : matcher.group(2)
                };
    }

    /** What the API says of itself at a path; null if nothing. */
    static String about(String path) {
        return switch (path) {
            case "/version" ->
                "{\"major\":\"1\",\"minor\":\"29\",\"gitVersion\":\"v1.29.0\",\"gitCommit\":\"0\","
                        + "\"gitTreeState\":\"clean\",\"buildDate\":\"2023-12-13T08:44:28Z\",\"goVersion\":\"go1.21.5\","
                        + "\"compiler\":\"gc\",\"platform\":\"linux/amd64\"}";
            case "/healthz", "/livez", "/readyz" -> "ok";
            case "/api" -> "{\"kind\":\"APIVersions\",\"versions\":[\"v1\"],\"serverAddressByClientCIDRs\":[]}";
            case "/apis" -> "{\"kind\":\"APIGroupList\",\"apiVersion\":\"v1\",\"groups\":[{" + GROUP + "]}";
            case "/apis/discovery.k8s.io" -> "{\"kind\":\"APIGroup\",\"apiVersion\":\"v1\"," + GROUP;
            case "/apis/discovery.k8s.io/v1" ->
                "{\"kind\":\"APIResourceList\",\"apiVersion\":\"v1\",\"groupVersion\":"
                        + "\"discovery.k8s.io/v1\",\"resources\":[{\"name\":\"endpointslices\",\"singularName\":"
                        + "\"endpointslice\",\"namespaced\":true,\"kind\":\"EndpointSlice\",\"verbs\":[\"get\",\"list\","
                        + "\"watch\"]}]}";
            default -> null;
        };
    }
}
