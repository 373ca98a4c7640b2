package slateseam.router.config;

import java.util.Set;
import org.json.JSONArray;
import org.json.JSONObject;
import slateseam.router.config.NodeConfig.InvalidConfigException;

/**
 * Compares a configuration that is read again with the one in use. Guards against a file that was cut off or mended by half,
 * and can be read all the same as what it lacks has a default: what the one in use has must be there, as the same type.
 */
final class Reread {
    private Reread() {}

    static void check(JSONObject used, JSONObject changed) throws InvalidConfigException {
        for (String part : new String[] {"settings", "limits"}) {
            compare(part, used.opt(part), changed.opt(part));
        }
    }

    private static void compare(String path, Object used, Object changed) throws InvalidConfigException {
        if (used == null || used == JSONObject.NULL) {
            return;
        }
        if (changed == null || changed == JSONObject.NULL) {
            throw new InvalidConfigException(path + " is missing");
        }
        String wanted = kind(used);
        if (!wanted.equals(kind(changed))) {
            throw new InvalidConfigException(path + " is no " + wanted);
        }
        if (used instanceof JSONObject object) {
            for (String key : object.keySet()) {
                compare(path + "." + key, object.get(key), ((JSONObject) changed).opt(key));
            }
        } else if (used instanceof JSONArray array) {
            items(path, array, (JSONArray) changed);
        }
    }

    /** Each item must have what every item in use has. */
    private static void items(String path, JSONArray used, JSONArray changed) throws InvalidConfigException {
        if (!used.isEmpty() && changed.isEmpty()) {
            throw new InvalidConfigException(path + " is empty");
        }
        for (int i = 0; !used.isEmpty() && i < changed.length(); i++) {
            if (!(used.get(0) instanceof JSONObject first)) {
                compare(path + "[" + i + "]", used.get(0), changed.get(i));
            } else if (!(changed.get(i) instanceof JSONObject item)) {
                throw new InvalidConfigException(path + "[" + i + "] is no object");
            } else {
                for (String key : common(used, first.keySet())) {
                    compare(path + "[" + i + "]." + key, first.get(key), item.opt(key));
                }
            }
        }
    }

    private static Set<String> common(JSONArray items, Set<String> keys) {
        Set<String> common = new java.util.TreeSet<>(keys);
        for (int i = 0; i < items.length(); i++) {
            common.retainAll(((JSONObject) items.get(i)).keySet());
        }
        return common;
    }

    private static String kind(Object value) {
        return value instanceof Number
                ? "number"
                : value instanceof Boolean
                        ? "true or false"
                        : value instanceof String ? "text" : value instanceof JSONArray ? "list" : "object";
    }
}
