package slateseam.show;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
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
import slateseam.router.config.PolicyDocument;

/** The shared policy, asked and changed at the second addresses of running routers. */
public final class PolicyCommand {
    /** It was done, or committed. */
    private static final int DONE = 0;
    /** It was aborted or turned down, or a router could not be asked. */
    private static final int REFUSED = 1;

    private static final int USAGE = 2;
    /** The way broke before it was known what became of it: ask again with the same name. */
    private static final int UNKNOWN = 3;

    private static final int MOST_MILLIS = 2_000;
    private static final int LOOK_MILLIS = 200;
    private static final String FORM = """
            usage: java -jar slateseam.jar policy COMMAND
              check FILE --config ROUTER.json   whether a router of this configuration would take the document
              begin --at HOST:PORT              begins the group of voters, once, at one of them, while all routers are there
              propose FILE --name NAME --at HOST:PORT [--serving] [--stale] [--watch S] [--points N] [--wait S]
                                                proposes the document; --serving goes on without those that are alive and silent
              undo --at HOST:PORT [--wait S]    proposes what held before the newest version
              status --at HOST:PORT ... [--json]   what each router serves by, and what it knows
              history --at HOST:PORT [--json]   all versions, and what became of them
            exit: 0 done or committed, 1 aborted or turned down, 2 bad use, 3 unknown: ask again with the same name""";

    private final CommandLine line;
    private final PrintStream out;

    private PolicyCommand(CommandLine line, PrintStream out) {
        this.line = line;
        this.out = out;
    }

    /** Runs a sub-command. */
    public static int run(String[] args, PrintStream out, PrintStream err) {
        Options options = new Options();
        for (String name : List.of("config", "at", "name", "watch", "points", "wait")) {
            options.addOption(Option.builder().longOpt(name).hasArg().get());
        }
        for (String name : List.of("json", "serving", "stale")) {
            options.addOption(Option.builder().longOpt(name).get());
        }
        try {
            CommandLine line = new DefaultParser().parse(options, args);
            List<String> words = line.getArgList();
            PolicyCommand command = new PolicyCommand(line, out);
            return switch (words.isEmpty() ? "" : words.get(0)) {
                case "check" -> command.check(file(words));
                case "begin" -> command.begin();
                case "propose" -> command.propose(file(words));
                case "undo" -> command.undo();
                case "status" -> command.status(err);
                case "history" -> command.history();
                case "help" -> {
                    out.println(FORM);
                    yield DONE;
                }
                default -> throw new ParseException(words.isEmpty() ? "no command" : "unknown command " + words.get(0));
            };
        } catch (ParseException e) {
            err.println("slateseam: policy: " + e.getMessage());
            err.println(FORM);
            return USAGE;
        } catch (InvalidConfigException e) {
            err.println("slateseam: policy: " + e.getMessage());
            return USAGE;
        } catch (IOException | JSONException | IllegalArgumentException e) {
            err.println("slateseam: policy: " + e.getMessage());
            return REFUSED;
        }
    }

    private static Path file(List<String> words) throws ParseException {
        if (words.size() != 2) {
            throw new ParseException(words.get(0) + " wants one FILE");
        }
        return Path.of(words.get(1));
    }

    private static byte[] document(Path file) throws InvalidConfigException {
        try {
            return Files.readAllBytes(file);
        } catch (IOException e) {
            throw new InvalidConfigException(
                    "cannot read " + file + ": " + e.getClass().getSimpleName());
        }
    }

    private int check(Path file) throws ParseException, InvalidConfigException {
        if (!line.hasOption("config")) {
            throw new ParseException("check wants --config");
        }
        NodeConfig own = NodeConfig.read(Path.of(line.getOptionValue("config")));
        try {
            PolicyDocument.over(own, document(file));
        } catch (InvalidConfigException e) {
            throw new InvalidConfigException(file + ": " + e.getMessage());
        }
        out.println(own.name() + " would take " + file);
        return DONE;
    }

    private String at() throws ParseException {
        if (!line.hasOption("at")) {
            throw new ParseException("--at HOST:PORT names no router's second address");
        }
        return line.getOptionValue("at");
    }

    private int number(String option, int usual, int most) throws ParseException {
        String text = line.getOptionValue(option, Integer.toString(usual)).replaceFirst("s$", "");
        if (!text.matches("[0-9]{1,6}") || Integer.parseInt(text) > most) {
            throw new ParseException("--" + option + " is " + text + ", no whole number from 0 to " + most);
        }
        return Integer.parseInt(text);
    }

    private int begin() throws ParseException, IOException {
        ask(at(), "POST", "/policy/begin");
        out.println("the group is begun at " + at());
        return DONE;
    }

    private int propose(Path file) throws ParseException, IOException, InvalidConfigException {
        String name = line.getOptionValue("name", "");
        if (name.isEmpty()) {
            throw new ParseException("propose wants --name, by which it can be asked for again");
        }
        int wait = number("wait", 0, 3_600);
        JSONObject proposal = new JSONObject()
                .put("name", name)
                .put("document", new String(document(file), StandardCharsets.UTF_8))
                .put("all", !line.hasOption("serving"))
                .put("stale", line.hasOption("stale"))
                .put("watch_s", number("watch", 30, 3_600))
                .put("points", number("points", 10, 100));
        String place = status(at()).optString("proposal", "");
        if (place.isEmpty()) {
            throw new IOException(
                    at() + " has no policy_proposal in its settings file: it does not know where proposals lie");
        }
        Path next = Files.writeString(Path.of(place + ".next"), proposal.toString());
        Files.move(next, Path.of(place), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        ask(at(), "POST", "/policy/propose");
        return outcome(name, wait);
    }

    private int undo() throws ParseException, IOException {
        int wait = number("wait", 0, 3_600);
        ask(at(), "POST", "/policy/undo");
        return outcome(status(at()).optString("asked"), wait);
    }

    /** What becomes of it, as long as that is waited for. */
    private int outcome(String name, int waitSeconds) throws ParseException, IOException {
        long until = System.nanoTime() + waitSeconds * 1_000_000_000L;
        String known = "unknown";
        do {
            try {
                JSONObject status = status(at());
                if (name.equals(status.optString("asked")) && !status.isNull("outcome")) {
                    known = status.getString("outcome");
                }
            } catch (IOException e) {
                known = "unknown: " + e.getMessage(); // asked again until the time is over
            }
            if (known.startsWith("unknown") && waitSeconds > 0) {
                sleep();
            }
        } while (known.startsWith("unknown") && System.nanoTime() < until);
        out.println(name + ": " + known
                + (waitSeconds == 0 && known.equals("unknown") ? " yet; policy history tells" : ""));
        boolean refused = known.startsWith("rejected") || known.equals("aborted");
        return waitSeconds == 0 && !refused ? DONE : known.startsWith("unknown") ? UNKNOWN : refused ? REFUSED : DONE;
    }

    private static void sleep() {
        try {
            Thread.sleep(LOOK_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private int status(PrintStream err) throws ParseException {
        at();
        JSONArray all = new JSONArray();
        int status = DONE;
        for (String place : Arrays.asList(line.getOptionValues("at"))) {
            try {
                all.put(status(place));
            } catch (IOException | JSONException | IllegalArgumentException e) {
                err.println("slateseam: policy: " + place + ": " + e.getMessage());
                status = REFUSED;
            }
        }
        if (line.hasOption("json")) {
            out.println(all.toString(2));
            return status;
        }
        out.printf(
                Locale.ROOT,
                "%-20s %7s %-16s %6s %-7s %-6s %8s %9s %-14s %s%n",
                "router",
                "version",
                "name",
                "newest",
                "serves",
                "stale",
                "age ms",
                "holds in",
                "role",
                "open: verdicts");
        for (Object each : all) {
            JSONObject one = (JSONObject) each;
            out.printf(
                    Locale.ROOT,
                    "%-20s %7d %-16s %6d %-7s %-6s %8d %9d %-14s %s%n",
                    one.optString("name"),
                    one.optInt("version"),
                    one.optString("version_name"),
                    one.optInt("newest"),
                    one.optBoolean("serves"),
                    one.optBoolean("stale"),
                    one.optLong("age_ms", -1),
                    one.optLong("holds_in_ms"),
                    one.optString("role"),
                    one.isNull("open") ? "-" : one.optString("open") + ": " + one.optString("verdicts"));
        }
        return status;
    }

    private int history() throws ParseException, IOException {
        JSONArray versions = status(at()).optJSONArray("versions");
        if (line.hasOption("json")) {
            out.println(versions == null ? "[]" : versions.toString(2));
            return DONE;
        }
        out.printf(
                Locale.ROOT, "%7s %-32s %-9s %8s %9s %s%n", "version", "name", "state", "bytes", "at router", "cause");
        for (int i = 0; versions != null && i < versions.length(); i++) {
            JSONObject one = versions.getJSONObject(i);
            out.printf(
                    Locale.ROOT,
                    "%7d %-32s %-9s %8d %9d %s%n",
                    one.getInt("version"),
                    one.getString("name"),
                    one.getString("state"),
                    one.getInt("bytes"),
                    one.getInt("proposer"),
                    one.getString("cause"));
        }
        return DONE;
    }

    private static JSONObject status(String place) throws IOException {
        return new JSONObject(ask(place, "GET", "/policy"));
    }

    private static String ask(String place, String method, String path) throws IOException {
        HttpURLConnection call =
                (HttpURLConnection) URI.create("http://" + place + path).toURL().openConnection();
        call.setRequestMethod(method);
        call.setConnectTimeout(MOST_MILLIS);
        call.setReadTimeout(MOST_MILLIS);
        int status = call.getResponseCode();
        try (InputStream in = status == HttpURLConnection.HTTP_OK ? call.getInputStream() : call.getErrorStream()) {
            String text = in == null ? "" : new String(in.readAllBytes(), StandardCharsets.UTF_8).strip();
            if (status != HttpURLConnection.HTTP_OK) {
                throw new IOException(
                        status == HttpURLConnection.HTTP_NOT_FOUND
                                ? "its settings file does not turn the policy on"
                                : text);
            }
            return text;
        }
    }
}
