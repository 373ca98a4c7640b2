package slateseam.router.membership;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import slateseam.router.membership.MembershipSettings.Keys;

/** Leaves of a slice what is needed, so that what the API tells beyond that takes no memory. */
final class Trim {
    /** Of the longest literal address, with a zone. */
    private static final int ADDRESS_LENGTH = 64;

    private static final int MOST_SHARED = 1_024;

    private final List<String> keys = new ArrayList<>(List.of(Keys.SERVICE));
    private final int most;
    /** Zones and the like, of which many endpoints have the same. */
    private final Map<String, String> shared = new HashMap<>();

    Trim(MembershipSettings settings) {
        most = settings.bounds().textBytes();
        for (String key : new String[] {
            settings.keys().kind(), settings.keys().weight(), settings.keys().start()
        }) {
            if (key != null) {
                keys.add(key);
            }
        }
    }

    Slice slice(Slice slice) {
        List<Endpoint> endpoints = new ArrayList<>(slice.endpoints().size());
        for (Endpoint endpoint : slice.endpoints()) {
            if (isUsable(endpoint)) {
                endpoints.add(endpoint(endpoint));
            }
        }
        return new Slice(
                slice.name(),
                slice.uid(),
                slice.version(),
                slice.ipv6(),
                slice.port(),
                endpoints,
                named(slice.labels()),
                named(slice.annotations()));
    }

    /** Guards against endpoints that have no address, or no identity that can be kept. */
    private boolean isUsable(Endpoint endpoint) {
        return !endpoint.addresses().isEmpty()
                && endpoint.addresses().get(0).length() <= ADDRESS_LENGTH
                && !endpoint.addresses().get(0).isEmpty()
                && (endpoint.targetUid() == null || fits(endpoint.targetUid()));
    }

    private Endpoint endpoint(Endpoint e) {
        List<String> hint = e.zone() == null
                        && e.hintZones().size() == 1
                        && fits(e.hintZones().get(0))
                ? List.of(share(e.hintZones().get(0)))
                : List.of();
        return new Endpoint(
                List.of(e.addresses().get(0)),
                e.ready(),
                e.serving(),
                e.terminating(),
                share(text(e.zone())),
                share(text(e.nodeName())),
                hint,
                e.targetUid(),
                text(e.targetName()));
    }

    private Map<String, String> named(Map<String, String> all) {
        Map<String, String> kept = new HashMap<>();
        for (String key : keys) {
            String value = all.get(key);
            if (value != null && fits(value)) {
                kept.put(key, share(value));
            }
        }
        return kept;
    }

    private String text(String text) {
        return text == null || !fits(text) ? null : text;
    }

    private boolean fits(String text) {
        return text.length() <= most
                && (text.length() * 3 <= most || text.getBytes(StandardCharsets.UTF_8).length <= most);
    }

    private String share(String text) {
        if (text == null) {
            return null;
        }
        String same = shared.get(text);
        if (same == null && shared.size() < MOST_SHARED) {
            shared.put(text, text);
        }
        return same == null ? text : same;
    }
}
