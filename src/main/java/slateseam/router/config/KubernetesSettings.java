package slateseam.router.config;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URISyntaxException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import slateseam.decision.Api.CacheMode;
import slateseam.router.config.NodeConfig.InvalidConfigException;
import slateseam.router.net.Clock;

/**
 * How the farm is followed in Kubernetes.
 *
 * @param api where the API is
 * @param namespace of the EndpointSlices
 * @param selector of the EndpointSlices by their labels
 * @param port the name of the servers' port
 * @param origin where the origin is
 * @param reading how servers are described
 * @param guard against lists that shrink by mistake
 * @param watchSeconds for how long a watch is asked for, 5 to 3600
 * @param page how many slices a page of a list may have, 1 to 1000
 */
public record KubernetesSettings(
        Api api,
        String namespace,
        String selector,
        String port,
        Origin origin,
        Reading reading,
        Guard guard,
        int watchSeconds,
        int page) {
    private static final Pattern LABEL = Pattern.compile("[a-z0-9]([-a-z0-9]{0,61}[a-z0-9])?");
    private static final Pattern SELECTOR = Pattern.compile("[ -~]{1,1024}");
    private static final Pattern LOOPBACK = Pattern.compile("127\\.[0-9.]+|::1|localhost");
    private static final String SERVICE_LABEL = "kubernetes.io/service-name";
    private static final String API = "kubernetes_api";
    private static final int HTTPS = 443;
    private static final int HTTP = 80;

    /**
     * The API, and what it takes to talk to it.
     *
     * @param host a name, or a literal address without brackets
     * @param ca its authorities in PEM; null where it is reached without TLS, on this machine
     * @param token a file with the bearer token; null for none
     */
    public record Api(String host, int port, Path ca, Path token) {
        /** Whether it is talked to by TLS. */
        public boolean tls() {
            return ca != null;
        }

        /** The host and port as a URL has them. */
        public String authority() {
            return (host.indexOf(':') < 0 ? host : "[" + host + "]") + ":" + port;
        }

        /** For the log. */
        @Override
        public String toString() {
            return (tls() ? "https://" : "http://") + authority();
        }
    }

    /** The origin: a second service's name, or one address; both null for none. */
    public record Origin(String service, InetSocketAddress address) {}

    /**
     * How servers are described.
     *
     * @param zones sites by zones
     * @param nodes sites by beginnings of nodes' names
     * @param kind a label or annotation of slices; null for none, as for the next two
     */
    public record Reading(
            Map<String, String> zones,
            Map<String, String> nodes,
            String kind,
            String weight,
            String start,
            boolean preferIpv6) {}

    /**
     * How many of the ready servers may leave at once, over 0 and at most 1, and for how long more of them are kept.
     */
    public record Guard(double share, long nanos) {}

    /** The same with another API. */
    public KubernetesSettings at(Api other) {
        return new KubernetesSettings(other, namespace, selector, port, origin, reading, guard, watchSeconds, page);
    }

    /** Reads them; null if they are off. */
    static KubernetesSettings read(SettingsFile file, NodeConfig config) throws InvalidConfigException {
        String url = file.text(API);
        String namespace = label(file, "kubernetes_namespace");
        String service = label(file, "kubernetes_service");
        String selector = matching(file, "kubernetes_selector", SELECTOR);
        String port = label(file, "kubernetes_port");
        Path ca = file.path("kubernetes_ca");
        Path token = file.path("kubernetes_token");
        Origin origin = new Origin(label(file, "kubernetes_origin_service"), file.address("kubernetes_origin"));
        Reading reading = new Reading(
                sites(file, "kubernetes_zones", config),
                sites(file, "kubernetes_nodes", config),
                file.text("kubernetes_kind_label"),
                file.text("kubernetes_weight_annotation"),
                file.text("kubernetes_start_annotation"),
                file.word("kubernetes_family", "ipv4", "ipv6").equals("ipv6"));
        Guard guard = new Guard(
                file.number("kubernetes_guard_percent", 1, 100, 40) / 100.0,
                file.number("kubernetes_guard_ms", 0, 600_000, 10_000) * Clock.MILLI);
        int watch = file.number("kubernetes_watch_s", 5, 3_600, 30);
        int page = file.number("kubernetes_page", 1, 1_000, 50);
        if (url == null) {
            file.rejectWithout(API, "kubernetes_");
            return null;
        }
        require(file, namespace, "kubernetes_namespace");
        require(file, port, "kubernetes_port");
        refuseBoth(file, "kubernetes_service", "kubernetes_selector");
        require(file, service == null ? selector : service, "kubernetes_service or kubernetes_selector");
        refuseBoth(file, "kubernetes_origin_service", "kubernetes_origin");
        boolean aside =
                config.settings().mode() == CacheMode.ASIDE && config.settings().originKind() >= 0;
        if (aside && origin.service() == null) {
            require(file, origin.address(), "kubernetes_origin_service or kubernetes_origin");
        }
        if (service != null && service.equals(origin.service())) {
            throw file.fault(
                    "kubernetes_origin_service", "kubernetes_origin_service is kubernetes_service: " + service);
        }
        return new KubernetesSettings(
                api(file, url, ca, token),
                namespace,
                service == null ? selector : selector(service, origin.service()),
                port,
                origin,
                reading,
                guard,
                watch,
                page);
    }

    private static String selector(String service, String origin) {
        return origin == null ? SERVICE_LABEL + "=" + service : SERVICE_LABEL + " in (" + service + "," + origin + ")";
    }

    private static Api api(SettingsFile file, String url, Path ca, Path token) throws InvalidConfigException {
        URI uri;
        try {
            uri = new URI(url);
        } catch (URISyntaxException e) {
            throw file.fault(API, API + " is " + url + ", no URL");
        }
        boolean tls = "https".equals(uri.getScheme());
        boolean rest = uri.getUserInfo() != null
                || uri.getQuery() != null
                || uri.getFragment() != null
                || uri.getPath() != null
                        && !uri.getPath().isEmpty()
                        && !uri.getPath().equals("/");
        if (!tls && !"http".equals(uri.getScheme())
                || uri.getHost() == null
                || rest
                || uri.getPort() == 0
                || uri.getPort() > NodeConfig.PORT_LIMIT) {
            throw file.fault(API, API + " is " + url + ", not https://HOST:PORT");
        }
        String host = uri.getHost().replaceAll("[\\[\\]]", "");
        if (tls) {
            require(file, ca, "kubernetes_ca");
            require(file, token, "kubernetes_token");
        } else if (!LOOPBACK.matcher(host).matches()) {
            throw file.fault(API, API + " is " + url + ": without TLS only an address of this machine is allowed");
        } else if (ca != null) {
            throw file.fault("kubernetes_ca", "kubernetes_ca is set, but kubernetes_api is without TLS");
        }
        return new Api(host, uri.getPort() > 0 ? uri.getPort() : tls ? HTTPS : HTTP, ca, token);
    }

    private static String label(SettingsFile file, String name) throws InvalidConfigException {
        return matching(file, name, LABEL);
    }

    private static String matching(SettingsFile file, String name, Pattern pattern) throws InvalidConfigException {
        String text = file.text(name);
        if (text != null && !pattern.matcher(text).matches()) {
            throw file.fault(name, name + " is " + text + ", which no object of Kubernetes can be named");
        }
        return text;
    }

    private static Map<String, String> sites(SettingsFile file, String name, NodeConfig config)
            throws InvalidConfigException {
        String text = file.text(name);
        Map<String, String> sites = new LinkedHashMap<>();
        for (String pair : text == null ? List.<String>of() : List.of(text.split(",", -1))) {
            String[] words = pair.strip().split("=", -1);
            if (words.length != 2 || words[0].isBlank() || sites.put(words[0].strip(), words[1].strip()) != null) {
                throw file.fault(name, name + " is no list of NAME=SITE with each name once: " + pair);
            }
            if (!config.zones().contains(words[1].strip())) {
                throw file.fault(
                        name,
                        name + " names the site " + words[1].strip() + ", but the configuration's are "
                                + String.join(", ", config.zones()));
            }
        }
        return sites;
    }

    private static void require(SettingsFile file, Object value, String name) throws InvalidConfigException {
        if (value == null) {
            throw file.fault(API, API + " needs " + name);
        }
    }

    private static void refuseBoth(SettingsFile file, String one, String other) throws InvalidConfigException {
        if (file.text(one) != null && file.text(other) != null) {
            throw file.fault(other, other + " is set beside " + one);
        }
    }
}
