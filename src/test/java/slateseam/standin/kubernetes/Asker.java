package slateseam.standin.kubernetes;

import static slateseam.standin.Stage.MILLI;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.json.JSONObject;
import slateseam.standin.Stage;

/** A connection to a stand-in API server on the stage, by hand, that reads answers and watches as they come. */
final class Asker {
    static final String SLICES = "/apis/discovery.k8s.io/v1/namespaces/shop/endpointslices";

    final Stage.Peer peer;
    private final Stage stage;
    private String rest = "";

    Asker(Stage stage) {
        this.stage = stage;
        this.peer = stage.dial("api");
    }

    void ask(String target, String... headers) {
        peer.say("GET " + target + " HTTP/1.1\r\nHost: api\r\n" + String.join("", headers) + "\r\n");
        stage.pass(2 * MILLI);
    }

    /** All that came since, byte by byte as Latin-1. */
    String raw() {
        String all = rest + peer.heard();
        rest = "";
        return all;
    }

    /** The status and the body of the one answer that came whole, as JSON; the status stands in {@code http}. */
    JSONObject answer(String target, String... headers) {
        ask(target, headers);
        String all = raw();
        int body = all.indexOf("\r\n\r\n") + 4;
        String text = all.contains("Transfer-Encoding: chunked") ? unchunked(all, body) : all.substring(body);
        return new JSONObject(utf8(text))
                .put("http", Integer.parseInt(all.substring(9, 12)))
                .put("head", all.substring(0, body));
    }

    /** What watches told since, a line for each event: its type, name and version, or the code of an error. */
    List<String> events() {
        String all = raw();
        int body = all.startsWith("HTTP") ? all.indexOf("\r\n\r\n") + 4 : 0;
        List<String> events = new ArrayList<>();
        for (String line : unchunked(all, body).split("\n")) {
            if (!line.isEmpty()) {
                JSONObject event = new JSONObject(utf8(line));
                JSONObject object = event.getJSONObject("object");
                JSONObject meta = object.getJSONObject("metadata");
                events.add(event.getString("type")
                        + ' '
                        + (object.getString("kind").equals("Status")
                                ? object.getInt("code")
                                : meta.optString("name", "-") + ' ' + meta.getLong("resourceVersion")));
            }
        }
        return events;
    }

    /** The data of whole chunks; what is behind them is kept for later. */
    private String unchunked(String all, int from) {
        StringBuilder data = new StringBuilder();
        int at = from;
        for (int line; (line = all.indexOf("\r\n", at)) >= 0; ) {
            int length = Integer.parseInt(all.substring(at, line), 16);
            if (line + 4 + length > all.length()) {
                break;
            }
            data.append(all, line + 2, line + 2 + length);
            at = line + 4 + length;
        }
        rest = all.substring(at);
        return data.toString();
    }

    private static String utf8(String latin) {
        return new String(latin.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
    }

    /** The names of a list's slices. */
    static String names(JSONObject list) {
        return IntStream.range(0, list.getJSONArray("items").length())
                .mapToObj(i -> list.getJSONArray("items")
                        .getJSONObject(i)
                        .getJSONObject("metadata")
                        .getString("name"))
                .collect(Collectors.joining(" "));
    }

    static JSONObject meta(JSONObject list) {
        return list.getJSONObject("metadata");
    }
}
