package slateseam.simulate.check;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.json.JSONArray;
import org.json.JSONObject;

/** The list of servers as one router was told it. */
final class Told {
    /** What was told of one host. */
    private record Host(String dial, boolean ready, long bornMillis, boolean origin) {}

    private static final class Dial {
        /** How many ready hosts are told to be there. */
        int ready;
        /** Since when there is none. */
        long closedAt;

        boolean origin;
        /** The last host that was told to be ready here. */
        String host;
    }

    private final String originClass;
    private final Map<String, Host> hosts = new HashMap<>();
    private final Map<String, Dial> dials = new HashMap<>();
    /** Since when the agent has known otherwise of hosts that were told to be ready; only looked up. */
    private final Map<String, Long> untold = new HashMap<>();

    /** Creates an empty list; hosts of the class are origins. */
    Told(String originClass) {
        this.originClass = originClass;
    }

    /** Takes a list in discovery's form that was told at a time. */
    void take(JSONObject list, boolean whole, long now) {
        JSONArray entries = list.getJSONArray("hosts");
        if (whole) {
            Set<String> listed = new HashSet<>();
            for (int i = 0; i < entries.length(); i++) {
                listed.add(entries.getJSONObject(i).getString("host"));
            }
            for (String host : hosts.keySet().toArray(new String[0])) {
                if (!listed.contains(host)) {
                    put(host, null, now);
                }
            }
        }
        for (int i = 0; i < entries.length(); i++) {
            JSONObject e = entries.getJSONObject(i);
            String health = e.getString("health");
            put(
                    e.getString("host"),
                    health.equals("gone")
                            ? null
                            : new Host(
                                    e.getString("dial"),
                                    health.equals("ready"),
                                    e.optLong("born_ms"),
                                    e.optString("class").equals(originClass)),
                    now);
        }
    }

    /**
     * Takes what the agent has to tell as told once it has had it for so long.
     *
     * @param heard whether the agent could be heard all that time
     */
    void untold(JSONObject list, boolean heard, long now, long nanos) {
        JSONArray entries = list.getJSONArray("hosts");
        Set<String> ready = new HashSet<>();
        for (int i = 0; i < entries.length(); i++) {
            JSONObject e = entries.getJSONObject(i);
            if (e.getString("health").equals("ready")) {
                ready.add(e.getString("host"));
            }
        }
        for (String host : hosts.keySet().toArray(new String[0])) {
            boolean news = heard && hosts.get(host).ready && !ready.contains(host);
            if (!news) {
                untold.remove(host);
            } else if (untold.computeIfAbsent(host, h -> now) <= now - nanos) {
                Host told = hosts.get(host);
                put(host, new Host(told.dial, false, told.bornMillis, told.origin), now);
            }
        }
    }

    private void put(String name, Host host, long now) {
        Host before = host == null ? hosts.remove(name) : hosts.put(name, host);
        // The new one first: a server that only changes otherwise was never closed.
        if (host != null) {
            Dial dial = dials.computeIfAbsent(host.dial, d -> new Dial());
            dial.origin = host.origin;
            dial.ready += host.ready ? 1 : 0;
            dial.host = host.ready ? name : dial.host;
            if (dial.ready == 0 && dial.closedAt == 0) {
                dial.closedAt = now;
            }
        }
        if (before != null && before.ready && --dials.get(before.dial).ready == 0) {
            dials.get(before.dial).closedAt = now;
        }
    }

    /** Whether any host was ever told to be at an address. */
    boolean knows(String dial) {
        return dials.containsKey(dial);
    }

    boolean isOrigin(String dial) {
        Dial told = dials.get(dial);
        return told != null && told.origin;
    }

    /** For how long the router has known that no server at an address wants requests; 0 if one does. */
    long closedFor(String dial, long now) {
        Dial told = dials.get(dial);
        return told == null || told.ready > 0 ? 0 : now - told.closedAt;
    }

    /** The start that was told of a host last, in Unix time in milliseconds; -1 if the host is not listed. */
    long bornMillis(String host) {
        Host told = hosts.get(host);
        return told == null ? -1 : told.bornMillis;
    }

    /** The host that was told last to want requests at an address; null if none ever was. */
    String hostAt(String dial) {
        Dial told = dials.get(dial);
        return told == null ? null : told.host;
    }
}
