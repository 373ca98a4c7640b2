package slateseam.router.kubernetes;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import slateseam.router.config.KubernetesSettings;

/** What is asked of the API. */
final class Targets {
    private Targets() {}

    private static String slices(KubernetesSettings settings) {
        return "/apis/discovery.k8s.io/v1/namespaces/" + settings.namespace() + "/endpointslices?labelSelector="
                + encoded(settings.selector());
    }

    /**
     * A page of a list of how things stand now: no version is named, as any other list may be older than what is known
     * already, and so show a server as ready that drains.
     *
     * @param next the token of a further page; null for the first
     */
    static String page(KubernetesSettings settings, String next) {
        return slices(settings) + "&limit=" + settings.page() + (next == null ? "" : "&continue=" + encoded(next));
    }

    /** What changed since a version, and what changes. */
    static String watch(KubernetesSettings settings, String version) {
        return slices(settings) + "&watch=true&allowWatchBookmarks=true&resourceVersion=" + encoded(version)
                + "&timeoutSeconds=" + settings.watchSeconds();
    }

    private static String encoded(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
