package slateseam.router.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.json.JSONArray;
import org.json.JSONException;
import org.json.JSONObject;
import slateseam.decision.Api.Effect;
import slateseam.decision.Api.RequestClass;
import slateseam.decision.Api.Settings;
import slateseam.router.config.SettingsParser.InvalidSettingException;

/**
 * What one router is told at its start.
 *
 * @param name its name, the same after a restart
 * @param listen where user agents connect
 * @param discovery the agent of discovery on this machine
 * @param seed for random numbers
 * @param sockets the most file descriptors that it may hold
 * @param peerListen where datagrams arrive; null where there are none
 * @param peers the routers' addresses by number, this one's included
 * @param peersAll reaches every router; null where there is no such address
 * @param known the farm as this router last had it, in discovery's form
 * @param zones the names of the zones, by number
 * @param kinds the names of the machine kinds, by number
 * @param idleNanos for how long a server keeps an idle connection
 * @param mostHeld how many requests this router may hold open
 * @param settings what the decision module is told
 * @param whole the file as it was read
 * @param control where those who operate it call; null where nobody does
 */
public record NodeConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        int sockets,
        InetSocketAddress peerListen,
        List<InetSocketAddress> peers,
        InetSocketAddress peersAll,
        JSONObject known,
        List<String> zones,
        List<String> kinds,
        long idleNanos,
        int mostHeld,
        Settings settings,
        JSONObject whole,
        InetSocketAddress control) {
    private static final int MOST_HELD = 4096;
    /** For the program itself, and the connections without which it would be of no use. */
    static final int LEAST_SOCKETS = 64;

    static final int PORT_LIMIT = 65_535;

    /** The configuration cannot be used; the message is one plain line. */
    public static final class InvalidConfigException extends Exception {
        private static final long serialVersionUID = 1L;

        /** Creates it with a message, of which one line is made. */
        public InvalidConfigException(String message) {
            super(message.replaceAll("\\s+", " "));
        }
    }

    /** Reads a configuration file. */
    public static NodeConfig read(Path file) throws InvalidConfigException {
        try {
            return parse(Files.readString(file));
        } catch (IOException e) {
            throw new InvalidConfigException(
                    "cannot read " + file + ": " + e.getClass().getSimpleName());
        }
    }

    /** Reads the text of a configuration. */
    public static NodeConfig parse(String text) throws InvalidConfigException {
        try {
            JSONObject json = new JSONObject(text);
            JSONObject told = json.getJSONObject("settings");
            Settings settings = SettingsParser.parse(flat(told));
            check(settings);
            int sockets = json.getJSONObject("limits").getInt("sockets");
            if (sockets < LEAST_SOCKETS) {
                throw new InvalidConfigException("limits.sockets is " + sockets + ", under " + LEAST_SOCKETS);
            }
            List<InetSocketAddress> peers = new ArrayList<>();
            for (String peer : strings(json.optJSONArray("peers"))) {
                peers.add(address("peers", peer));
            }
            boolean talks = settings.limits().peers() && json.has("peer_listen");
            if (talks && peers.size() != settings.routers()) {
                throw new InvalidConfigException(
                        "peers lists " + peers.size() + " addresses, but there are " + settings.routers() + " routers");
            }
            JSONObject limits = told.getJSONObject("limits");
            return new NodeConfig(
                    json.getString("name"),
                    address("listen", json.getString("listen")),
                    address("discovery", json.getString("discovery")),
                    seed(json.getString("seed")),
                    sockets,
                    talks ? address("peer_listen", json.getString("peer_listen")) : null,
                    List.copyOf(peers),
                    json.has("peers_all") ? address("peers_all", json.getString("peers_all")) : null,
                    json.getJSONObject("known"),
                    strings(told.optJSONArray("zones")),
                    strings(told.optJSONArray("kinds")),
                    limits.optLong("conn_idle_ns", 60_000_000_000L),
                    Math.min(MOST_HELD, limits.optInt("most_held", MOST_HELD)),
                    settings,
                    json,
                    json.has("control") ? address("control", json.getString("control")) : null);
        } catch (JSONException | InvalidSettingException e) {
            throw new InvalidConfigException(e.getMessage());
        }
    }

    /** Reads a file again while this one is in use; what this one tells must be told there too. */
    public NodeConfig reread(Path file) throws InvalidConfigException {
        NodeConfig changed = read(file);
        Reread.check(whole, changed.whole);
        return changed;
    }

    /** Guards what no parser can tell: figures without which no request could be served, and names that mean two things. */
    private static void check(Settings settings) throws InvalidConfigException {
        if (settings.classes().isEmpty()) {
            throw new InvalidConfigException("settings.profiles is empty");
        }
        if (settings.limits().attempts() < 1) {
            throw new InvalidConfigException(
                    "settings.limits.try_limit is " + settings.limits().attempts() + ", under 1");
        }
        Set<String> names = new HashSet<>();
        for (RequestClass type : settings.classes()) {
            String at = "settings.profiles: class " + type.name();
            if (type.name().isEmpty() || !names.add(type.name())) {
                throw new InvalidConfigException(at + (type.name().isEmpty() ? "has no name" : " stands twice"));
            }
            if (type.deadlineNanos() <= 0 || type.aimNanos() <= 0) {
                throw new InvalidConfigException(at + " has a deadline or an aim that is not over 0");
            }
            if (type.effect() == Effect.TOKEN && type.windowNanos() < 0) {
                throw new InvalidConfigException(at + " has a window under 0");
            }
        }
    }

    /** The same with a second address that the environment names, which counts where the file names none. */
    public NodeConfig withControl(String named) throws InvalidConfigException {
        if (control != null || named == null || named.isEmpty()) {
            return this;
        }
        return new NodeConfig(
                name,
                listen,
                discovery,
                seed,
                sockets,
                peerListen,
                peers,
                peersAll,
                known,
                zones,
                kinds,
                idleNanos,
                mostHeld,
                settings,
                whole,
                address("NODE_CONTROL", named));
    }

    private static long seed(String hex) throws InvalidConfigException {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new InvalidConfigException("seed=" + hex + " is no hexadecimal number of 64 bits");
        }
    }

    private static InetSocketAddress address(String key, String text) throws InvalidConfigException {
        InetSocketAddress address = address(text);
        if (address == null) {
            throw new InvalidConfigException(key + "=" + text + " is no address and port");
        }
        return address;
    }

    /** Reads a literal address and a port; null if it is none. Names are not looked up: there is no DNS. */
    public static InetSocketAddress address(String text) {
        try {
            URI uri = new URI("tcp://" + text);
            String host = uri.getHost();
            boolean literal = host != null && host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+]");
            return literal && uri.getPort() >= 0 && uri.getPort() <= PORT_LIMIT
                    ? new InetSocketAddress(host, uri.getPort())
                    : null;
        } catch (URISyntaxException e) {
            return null;
        }
    }

    private static List<String> strings(JSONArray array) {
        return array == null
                ? List.of()
                : array.toList().stream().map(String::valueOf).toList();
    }

    /** Brings nested settings into the paths and values in which the simulator's wire writes them. */
    static Map<String, String> flat(JSONObject settings) {
        Map<String, String> values = new HashMap<>();
        settings.keySet().forEach(key -> flatten(key, settings.get(key), values));
        return values;
    }

    private static void flatten(String path, Object value, Map<String, String> values) {
        if (value instanceof JSONObject object) {
            object.keySet().forEach(key -> flatten(path + "." + key, object.get(key), values));
        } else if (value instanceof JSONArray array) {
            if (!array.isEmpty() && array.get(0) instanceof JSONObject) {
                values.put(path + ".count", Integer.toString(array.length()));
                for (int i = 0; i < array.length(); i++) {
                    flatten(path + "." + i, array.get(i), values);
                }
            } else {
                values.put(path, array.toList().stream().map(String::valueOf).collect(Collectors.joining(",")));
            }
        } else if (value != JSONObject.NULL) {
            values.put(path, value.toString());
        }
    }
}
