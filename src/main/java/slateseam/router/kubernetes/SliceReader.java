package slateseam.router.kubernetes;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.json.JSONArray;
import org.json.JSONException;
import org.json.JSONObject;
import slateseam.router.membership.Endpoint;
import slateseam.router.membership.Slice;
import slateseam.router.net.MalformedException;

/** Reads an EndpointSlice of {@code discovery.k8s.io/v1}. What is not needed is passed over, whatever it is. */
final class SliceReader {
    /** Over what the API itself takes, which is 1,000. */
    private static final int MOST_ENDPOINTS = 4_096;
    /** The API's own bounds. */
    private static final int MOST_PORTS = 1_024;

    private static final int LONGEST_NAME = 253;
    private static final Pattern VERSION = Pattern.compile("[0-9]{1,18}");
    private static final Pattern IPV4 = Pattern.compile("((25[0-5]|2[0-4]\\d|1?\\d?\\d)(\\.(?!$)|$)){4}");
    private static final Pattern IPV6 = Pattern.compile("[0-9a-fA-F:.]{2,45}");

    private final String port;

    /** @param port the name of the port at which servers are reached */
    SliceReader(String port) {
        this.port = port;
    }

    /** The version of an object or a list, as text that is a number. */
    static String version(JSONObject object) throws MalformedException {
        try {
            String version = object.getJSONObject("metadata").getString("resourceVersion");
            if (VERSION.matcher(version).matches()) {
                return version;
            }
            throw new MalformedException("a resourceVersion is no number: " + version);
        } catch (JSONException e) {
            throw new MalformedException(e.getMessage());
        }
    }

    /**
     * Reads one.
     *
     * @return null if it holds names and no addresses, which nobody here can reach
     * @throws MalformedException if it is none, or is over the API's own bounds
     */
    Slice read(JSONObject json) throws MalformedException {
        try {
            long version = Long.parseLong(version(json));
            JSONObject metadata = json.getJSONObject("metadata");
            String name = metadata.getString("name");
            String uid = metadata.getString("uid");
            if (name.isEmpty() || uid.isEmpty() || name.length() > LONGEST_NAME || uid.length() > LONGEST_NAME) {
                throw new MalformedException("a slice without a usable name or uid");
            }
            String type = json.getString("addressType");
            if (type.equals("FQDN")) {
                return null;
            }
            boolean ipv6 = type.equals("IPv6");
            if (!ipv6 && !type.equals("IPv4")) {
                throw new MalformedException("slice " + name + " has addresses of type " + type);
            }
            return new Slice(
                    name,
                    uid,
                    version,
                    ipv6,
                    port(json.optJSONArray("ports")),
                    endpoints(json.optJSONArray("endpoints"), name, ipv6),
                    texts(metadata.optJSONObject("labels")),
                    texts(metadata.optJSONObject("annotations")));
        } catch (JSONException e) {
            throw new MalformedException(e.getMessage());
        }
    }

    private Integer port(JSONArray ports) throws MalformedException {
        for (int i = 0; ports != null && i < Math.min(MOST_PORTS, ports.length()); i++) {
            JSONObject one = ports.getJSONObject(i);
            // Read as what it is: a number of a million digits would take for ever to be made an int.
            if (port.equals(text(one, "name")) && one.opt("port") instanceof Integer number) {
                return number;
            }
        }
        return null;
    }

    private static List<Endpoint> endpoints(JSONArray all, String slice, boolean ipv6) throws MalformedException {
        int count = all == null ? 0 : all.length();
        if (count > MOST_ENDPOINTS) {
            throw new MalformedException("slice " + slice + " has " + count + " endpoints");
        }
        List<Endpoint> endpoints = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            endpoints.add(endpoint(all.getJSONObject(i), ipv6));
        }
        return endpoints;
    }

    private static Endpoint endpoint(JSONObject json, boolean ipv6) throws MalformedException {
        List<String> addresses = strings(json.optJSONArray("addresses"));
        if (!addresses.isEmpty() && !isLiteral(addresses.get(0), ipv6)) {
            throw new MalformedException("an endpoint's address is none: " + addresses.get(0));
        }
        JSONObject conditions = json.optJSONObject("conditions", new JSONObject());
        JSONObject target = json.optJSONObject("targetRef", new JSONObject());
        return new Endpoint(
                addresses.subList(0, Math.min(1, addresses.size())),
                condition(conditions, "ready"),
                condition(conditions, "serving"),
                condition(conditions, "terminating"),
                text(json, "zone"),
                text(json, "nodeName"),
                zones(json.optJSONObject("hints")),
                text(target, "uid"),
                text(target, "name"));
    }

    /** Guards the loop: what is no literal address would be looked up as a name. */
    static boolean isLiteral(String address, boolean ipv6) {
        if (!ipv6) {
            return IPV4.matcher(address).matches();
        }
        try {
            return address.indexOf(':') >= 0
                    && IPV6.matcher(address).matches()
                    && InetAddress.getByName("[" + address + "]") != null;
        } catch (UnknownHostException e) {
            return false;
        }
    }

    /** Null if it is not told. */
    private static Boolean condition(JSONObject conditions, String name) throws MalformedException {
        Object value = conditions.opt(name);
        if (value == null || value == JSONObject.NULL) {
            return null;
        }
        if (value instanceof Boolean is) {
            return is;
        }
        // Guards against taking for ready what said otherwise in a way that is not understood.
        throw new MalformedException("the condition " + name + " is neither true nor false");
    }

    private static List<String> zones(JSONObject hints) {
        JSONArray zones = hints == null ? null : hints.optJSONArray("forZones");
        List<String> names = new ArrayList<>();
        for (int i = 0; zones != null && i < zones.length(); i++) {
            JSONObject zone = zones.optJSONObject(i);
            String name = zone == null ? null : text(zone, "name");
            if (name != null) {
                names.add(name);
            }
        }
        return names;
    }

    private static String text(JSONObject object, String name) {
        return object.opt(name) instanceof String text && !text.isEmpty() ? text : null;
    }

    private static List<String> strings(JSONArray array) throws MalformedException {
        List<String> strings = new ArrayList<>();
        for (int i = 0; array != null && i < array.length(); i++) {
            if (!(array.opt(i) instanceof String text)) {
                throw new MalformedException("an endpoint's address is none");
            }
            strings.add(text);
        }
        return strings;
    }

    private static Map<String, String> texts(JSONObject object) {
        Map<String, String> texts = new HashMap<>();
        if (object != null) {
            for (String key : object.keySet()) {
                if (object.opt(key) instanceof String text) {
                    texts.put(key, text);
                }
            }
        }
        return texts;
    }
}
