package slateseam.router.snapshot;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.json.JSONArray;
import org.json.JSONObject;
import org.json.JSONWriter;
import slateseam.router.membership.Endpoint;
import slateseam.router.membership.Remembered;
import slateseam.router.membership.Remembered.Deleted;
import slateseam.router.membership.Remembered.Known;
import slateseam.router.membership.Server;
import slateseam.router.membership.Slice;

/** What a membership remembers, as JSON. Endpoints are arrays, as there are many. */
final class SlicesJson {
    private SlicesJson() {}

    static void write(Remembered r, Appendable to) {
        JSONWriter out = new JSONWriter(to);
        out.object().key("version").value(r.version()).key("floor").value(r.floor());
        out.key("slices").array();
        r.slices().forEach(slice -> write(slice, out));
        out.endArray().key("deleted").array();
        for (Deleted d : r.deleted()) {
            out.array().value(d.name()).value(d.uid()).value(d.version()).endArray();
        }
        out.endArray().key("servers").array();
        for (Known k : r.servers()) {
            out.array()
                    .value(k.name())
                    .value(k.origin())
                    .value(k.bornAtNanos())
                    .value(k.seenReady())
                    .value(k.drainedAt())
                    .value(k.guarded());
            if (k.held() != null) {
                write(k.held(), out);
            }
            out.endArray();
        }
        out.endArray().endObject();
    }

    private static void write(Slice slice, JSONWriter out) {
        out.object()
                .key("name")
                .value(slice.name())
                .key("uid")
                .value(slice.uid())
                .key("version")
                .value(slice.version())
                .key("ipv6")
                .value(slice.ipv6())
                .key("port")
                .value(slice.port())
                .key("labels")
                .value(slice.labels())
                .key("annotations")
                .value(slice.annotations())
                .key("endpoints")
                .array();
        for (Endpoint e : slice.endpoints()) {
            out.array()
                    .value(e.addresses())
                    .value(e.ready())
                    .value(e.serving())
                    .value(e.terminating())
                    .value(e.zone())
                    .value(e.nodeName())
                    .value(e.hintZones())
                    .value(e.targetUid())
                    .value(e.targetName())
                    .endArray();
        }
        out.endArray().endObject();
    }

    private static void write(Server s, JSONWriter out) {
        out.array()
                .value(s.address())
                .value(s.port())
                .value(s.ready())
                .value(s.zone())
                .value(s.kind())
                .value(s.weight())
                .value(s.bornAtNanos())
                .value(s.pod())
                .value(s.node())
                .endArray();
    }

    static Remembered read(JSONObject json) {
        return new Remembered(
                json.isNull("version") ? null : json.getString("version"),
                json.getLong("floor"),
                all(json.getJSONArray("slices"), slice -> slice((JSONObject) slice)),
                all(json.getJSONArray("deleted"), d -> deleted((JSONArray) d)),
                all(json.getJSONArray("servers"), k -> known((JSONArray) k)));
    }

    private static <T> List<T> all(JSONArray array, Function<Object, T> read) {
        List<T> all = new ArrayList<>(array.length());
        try {
            array.forEach(one -> all.add(read.apply(one)));
        } catch (ClassCastException e) {
            throw new IllegalArgumentException(e);
        }
        return all;
    }

    private static Slice slice(JSONObject json) {
        return new Slice(
                json.getString("name"),
                json.getString("uid"),
                json.getLong("version"),
                json.getBoolean("ipv6"),
                json.isNull("port") ? null : (Integer) json.getInt("port"),
                all(json.getJSONArray("endpoints"), e -> endpoint((JSONArray) e)),
                texts(json.getJSONObject("labels")),
                texts(json.getJSONObject("annotations")));
    }

    private static Endpoint endpoint(JSONArray a) {
        return new Endpoint(
                all(a.getJSONArray(0), String.class::cast),
                truth(a, 1),
                truth(a, 2),
                truth(a, 3),
                text(a, 4),
                text(a, 5),
                all(a.getJSONArray(6), String.class::cast),
                text(a, 7),
                text(a, 8));
    }

    private static Deleted deleted(JSONArray a) {
        return new Deleted(a.getString(0), a.getString(1), a.getLong(2));
    }

    private static Known known(JSONArray a) {
        String name = a.getString(0);
        boolean origin = a.getBoolean(1);
        JSONArray h = a.optJSONArray(6);
        Server held = h == null
                ? null
                : new Server(
                        name,
                        h.getString(0),
                        h.getInt(1),
                        h.getBoolean(2),
                        h.getString(3),
                        h.getString(4),
                        h.getDouble(5),
                        h.getLong(6),
                        origin,
                        h.getString(7),
                        h.getString(8));
        return new Known(name, origin, a.getLong(2), a.getBoolean(3), a.getLong(4), held, a.getBoolean(5));
    }

    private static Map<String, String> texts(JSONObject json) {
        Map<String, String> all = new HashMap<>();
        json.keySet().forEach(key -> all.put(key, json.getString(key)));
        return all;
    }

    private static Boolean truth(JSONArray a, int at) {
        return a.isNull(at) ? null : (Boolean) a.getBoolean(at);
    }

    private static String text(JSONArray a, int at) {
        return a.isNull(at) ? null : a.getString(at);
    }
}
