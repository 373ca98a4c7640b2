package slateseam.router.membership;

import java.util.Comparator;
import java.util.List;
import java.util.Map;

/** Brings zones, or where none is told nodes, to sites. */
final class Places {
    private final Map<String, String> zones;
    private final List<Map.Entry<String, String>> nodes;

    Places(MembershipSettings.Places settings) {
        zones = settings.zones();
        nodes = settings.nodes().entrySet().stream()
                .sorted(Comparator.comparing((Map.Entry<String, String> node) ->
                                -node.getKey().length())
                        .thenComparing(Map.Entry::getKey))
                .toList();
    }

    /** The site of an endpoint by its zone, else by the one zone that is to use it, else by its node; or empty. */
    String site(Endpoint endpoint) {
        String zone = endpoint.zone() == null && endpoint.hintZones().size() == 1
                ? endpoint.hintZones().get(0)
                : endpoint.zone();
        if (zone != null) {
            return zones.getOrDefault(zone, zone);
        }
        String node = endpoint.nodeName();
        for (Map.Entry<String, String> known : nodes) {
            if (node != null && node.startsWith(known.getKey())) {
                return known.getValue();
            }
        }
        return "";
    }
}
