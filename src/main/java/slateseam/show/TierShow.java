package slateseam.show;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.TreeSet;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.json.JSONArray;
import org.json.JSONException;
import org.json.JSONObject;
import slateseam.router.config.NodeConfig;
import slateseam.router.config.NodeConfig.InvalidConfigException;

/** The tier of routers as running routers see it, asked at their second addresses. */
public final class TierShow {
    private static final int FAILED = 1;
    private static final int USAGE = 2;
    private static final int MOST_MILLIS = 2_000;
    private static final String FORM = "tier show [--config FILE | --at HOST:PORT ...] [--json]";

    private TierShow() {}

    /** Shows it: 0, 1 if a router could not be asked, 2 for bad use. */
    public static int run(String[] args, PrintStream out, PrintStream err) {
        Options options = new Options();
        options.addOption(Option.builder().longOpt("config").hasArg().get());
        options.addOption(Option.builder().longOpt("at").hasArg().get());
        options.addOption(Option.builder().longOpt("json").get());
        try {
            CommandLine line = new DefaultParser().parse(options, args);
            if (!line.getArgList().equals(List.of("show"))) {
                throw new ParseException("tier can only show: " + FORM);
            }
            List<JSONObject> views = new ArrayList<>();
            List<String> places = line.hasOption("at") ? Arrays.asList(line.getOptionValues("at")) : List.of(own(line));
            int status = 0;
            for (String place : places) {
                try {
                    views.add(ask(place));
                } catch (IOException | JSONException | IllegalArgumentException e) {
                    err.println("slateseam: tier: " + place + ": " + e.getMessage());
                    status = FAILED;
                }
            }
            out.println(
                    line.hasOption("json")
                            ? new JSONArray(views).toString(2)
                            : String.join("\n", text(views, System.currentTimeMillis())));
            return status;
        } catch (ParseException | InvalidConfigException e) {
            err.println("slateseam: tier: " + e.getMessage());
            return USAGE;
        }
    }

    /** The second address of the router of a configuration. */
    private static String own(CommandLine line) throws ParseException, InvalidConfigException {
        String file = line.getOptionValue("config", System.getenv("NODE_CONFIG"));
        if (file == null) {
            throw new ParseException("neither --at, --config nor NODE_CONFIG names a router");
        }
        NodeConfig config = NodeConfig.read(Path.of(file)).withControl(System.getenv("NODE_CONTROL"));
        if (config.control() == null) {
            throw new ParseException(file + " names no second address (control) to ask at");
        }
        return config.control().getAddress().getHostAddress() + ":"
                + config.control().getPort();
    }

    private static JSONObject ask(String place) throws IOException {
        HttpURLConnection call = (HttpURLConnection)
                URI.create("http://" + place + "/tier").toURL().openConnection();
        call.setConnectTimeout(MOST_MILLIS);
        call.setReadTimeout(MOST_MILLIS);
        if (call.getResponseCode() != HttpURLConnection.HTTP_OK) {
            throw new IOException("status " + call.getResponseCode() + ": its features do not turn the tier on");
        }
        try (InputStream in = call.getInputStream()) {
            return new JSONObject(new String(in.readAllBytes(), StandardCharsets.UTF_8));
        }
    }

    /** A block for each router asked, and of several a matrix of who hears whom. */
    static List<String> text(List<JSONObject> views, long nowMillis) {
        List<String> lines = new ArrayList<>();
        for (JSONObject view : views) {
            lines.add(String.format(
                    Locale.ROOT,
                    "%s: %d present, doubt %s, trust %s, view %s, life %d%s",
                    view.optString("name"),
                    view.optInt("present"),
                    view.optString("doubt", "-"),
                    view.optString("trust", "-"),
                    view.optString("view", "-"),
                    view.optLong("life"),
                    view.optBoolean("twice") ? ", ANOTHER PROCESS GOES BY THIS NAME" : ""));
            lines.add("last change: " + view.optString("last_change", "none"));
            lines.add(String.format(
                    Locale.ROOT,
                    "  %-24s %6s %-8s %-10s %11s %12s %9s  %s",
                    "member",
                    "number",
                    "state",
                    "reach",
                    "incarnation",
                    "since s ago",
                    "heard ms",
                    "said by"));
            JSONArray members = view.optJSONArray("members");
            for (int i = 0; members != null && i < members.length(); i++) {
                JSONObject one = members.getJSONObject(i);
                lines.add(String.format(
                        Locale.ROOT,
                        "  %-24s %6d %-8s %-10s %11d %12.1f %9s  %s",
                        one.getString("name"),
                        one.getInt("number"),
                        one.getString("state"),
                        one.getString("reach"),
                        one.getInt("incarnation"),
                        (nowMillis - one.getLong("since_ms")) / 1e3,
                        one.getLong("heard_ms_ago") < 0 ? "-" : one.getLong("heard_ms_ago"),
                        one.getString("by")));
            }
        }
        if (views.size() > 1) {
            lines.addAll(matrix(views));
        }
        return lines;
    }

    private static List<String> matrix(List<JSONObject> views) {
        TreeSet<String> names = new TreeSet<>();
        views.forEach(view -> {
            names.add(view.optString("name"));
            for (Object one : view.optJSONArray("members") == null ? new JSONArray() : view.getJSONArray("members")) {
                names.add(((JSONObject) one).getString("name"));
            }
        });
        List<String> lines = new ArrayList<>();
        lines.add("who hears whom: d directly, o by way of others, - not, S suspect, F failed, L left, ? not known");
        StringBuilder head = new StringBuilder(String.format(Locale.ROOT, "  %-24s", "hears"));
        List<String> columns = List.copyOf(names);
        for (int i = 0; i < columns.size(); i++) {
            head.append(String.format(Locale.ROOT, " %3d", i + 1));
        }
        lines.add(head.toString());
        for (JSONObject view : views) {
            StringBuilder row = new StringBuilder(String.format(
                    Locale.ROOT,
                    "  %-24s",
                    (columns.indexOf(view.optString("name")) + 1) + " " + view.optString("name")));
            columns.forEach(name -> row.append("   ").append(cell(view, name)));
            lines.add(row.toString());
        }
        return lines;
    }

    private static char cell(JSONObject view, String name) {
        if (view.optString("name").equals(name)) {
            return '.';
        }
        JSONArray members = view.optJSONArray("members");
        for (int i = 0; members != null && i < members.length(); i++) {
            JSONObject one = members.getJSONObject(i);
            if (one.getString("name").equals(name)) {
                return switch (one.getString("state")) {
                    case "suspect" -> 'S';
                    case "failed" -> 'F';
                    case "left" -> 'L';
                    default ->
                        one.getString("reach").equals("direct")
                                ? 'd'
                                : one.getString("reach").equals("by-others") ? 'o' : '-';
                };
            }
        }
        return '?';
    }
}
