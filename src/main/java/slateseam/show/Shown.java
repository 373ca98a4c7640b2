package slateseam.show;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.json.JSONArray;
import org.json.JSONObject;

/**
 * A server as it is shown.
 *
 * @param name its pod, or what else it is known by
 * @param identity from which its number is derived
 * @param address with its port
 * @param why why it drains; empty if it is ready
 * @param since its start; null for long ago
 */
record Shown(
        String name,
        String identity,
        String address,
        boolean ready,
        String why,
        String zone,
        String kind,
        double weight,
        Instant since,
        boolean origin) {
    private static final List<String> HEADS = List.of("NAME", "ADDRESS", "STATE", "ZONE", "KIND", "WEIGHT", "SINCE");

    private List<String> cells() {
        String state = (ready ? "ready" : "draining") + (why.isEmpty() ? "" : " (" + why + ")");
        return List.of(
                name,
                address,
                state,
                dash(zone),
                origin ? "origin" : dash(kind),
                String.format(Locale.ROOT, "%.4g", weight).replaceAll("\\.?0+$", ""),
                since == null ? "long ago" : since.toString());
    }

    private static String dash(String text) {
        return text.isEmpty() ? "-" : text;
    }

    /** A table, a line for each. */
    static List<String> table(List<Shown> servers) {
        List<List<String>> rows = new ArrayList<>(List.of(HEADS));
        servers.forEach(server -> rows.add(server.cells()));
        int[] widths = new int[HEADS.size()];
        for (List<String> row : rows) {
            for (int i = 0; i < widths.length; i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        List<String> lines = new ArrayList<>();
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < widths.length; i++) {
                line.append(row.get(i)).append(" ".repeat(widths[i] - row.get(i).length() + 2));
            }
            lines.add(line.toString().stripTrailing());
        }
        return lines;
    }

    /** The same as JSON. */
    static JSONArray json(List<Shown> servers) {
        JSONArray all = new JSONArray();
        for (Shown s : servers) {
            all.put(new JSONObject()
                    .put("name", s.name)
                    .put("identity", s.identity)
                    .put("address", s.address)
                    .put("state", s.ready ? "ready" : "draining")
                    .put("why", s.why)
                    .put("zone", s.zone)
                    .put("kind", s.kind)
                    .put("weight", s.weight)
                    .put("origin", s.origin)
                    .put("since", s.since == null ? JSONObject.NULL : s.since.toString()));
        }
        return all;
    }
}
