package slateseam.trial;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.json.JSONArray;
import org.json.JSONObject;
import slateseam.simulate.scenario.Day;
import slateseam.simulate.scenario.FaultKind;
import slateseam.standin.sockets.SocketNet;

/** Proposes changes of policy as a script says, and holds what routers say of versions against one another and against time. */
final class PolicyLook {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final long LOOK_NANOS = 200 * MILLI;
    /** From the first word of a commit until nobody serves by what was before: the wait, an election and the hold anew, and the rig's own ways. */
    private static final long BOUND_NANOS = 8 * SECOND;

    private static final long SETTLED_NANOS = 10 * SECOND;

    private final Day day;
    private final SocketNet net;
    private final Routers routers;
    private final Findings findings;
    private final History history;
    private final Map<Integer, Long> committedAt = new TreeMap<>();
    private final Map<Integer, String> states = new HashMap<>();
    private final Set<String> asked = new HashSet<>();
    private final Map<String, JSONObject> last = new TreeMap<>();
    /** Since when each has said that it serves nothing, and what it had served when that was over its last requests. */
    private final Map<String, Long> refusesSince = new HashMap<>();

    private final Map<String, Long> servedThen = new HashMap<>();
    private int changes;
    private boolean over;

    PolicyLook(Day day, SocketNet net, Routers routers, Findings findings, History history) {
        this.day = day;
        this.net = net;
        this.routers = routers;
        this.findings = findings;
        this.history = history;
    }

    /** Whether a day has anything to do with it. */
    static boolean isIn(Day day) {
        return day.timeline().faults().stream().anyMatch(fault -> fault.kind().isOfPolicy());
    }

    /** Where a router finds what is proposed at it. */
    static Path proposal(Path folder, String router) {
        return folder.resolve(router).resolve("proposal.json");
    }

    /** Does what the script says at a router. */
    void does(FaultKind kind, String router) {
        if (kind == FaultKind.POLICY_CHANGE) {
            int number = ++changes;
            JSONObject document = new JSONObject()
                    .put("settings", new JSONObject().put("limits", new JSONObject().put("try_limit", 2 + number % 2)));
            Path place = proposal(routers.folder(), router);
            try {
                Files.writeString(
                        place.resolveSibling("proposal.next"),
                        new JSONObject()
                                .put("name", "change-" + number)
                                .put("document", document.toString())
                                .put("watch_s", 1)
                                .put("points", 100)
                                .toString());
                Files.move(
                        place.resolveSibling("proposal.next"),
                        place,
                        StandardCopyOption.ATOMIC_MOVE,
                        StandardCopyOption.REPLACE_EXISTING);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
        String path = kind == FaultKind.POLICY_BEGIN
                ? "/policy/begin"
                : kind == FaultKind.POLICY_CHANGE ? "/policy/propose" : "/policy/undo";
        net.connect("rig", routers.control(router), new StatsCall("POST", path, answer -> {}));
    }

    void start() {
        look();
    }

    private void look() {
        for (Day.Router router : day.routers()) {
            String name = router.name();
            if (routers.child(name).isAlive() && asked.add(name)) {
                net.connect("rig", routers.control(name), new StatsCall("/policy", told -> {
                    asked.remove(name);
                    if (told != null && told.optBoolean("talks")) {
                        last.put(name, told);
                        check(name, told);
                    }
                }));
            }
        }
        if (!over) {
            net.at(net.now() + LOOK_NANOS, this::look);
        }
    }

    /** One that says that it serves nothing must serve nothing, by what it counts itself; what it had begun may still end. */
    private void refuses(String name, boolean serves) {
        if (serves) {
            refusesSince.remove(name);
            servedThen.remove(name);
            return;
        }
        long since = refusesSince.computeIfAbsent(name, n -> net.now());
        if (net.now() - since > day.longestDeadlineNanos() + SECOND && asked.add(name + " stats")) {
            net.connect("rig", routers.control(name), new StatsCall("/stats", figures -> {
                asked.remove(name + " stats");
                if (figures != null && refusesSince.containsKey(name)) {
                    JSONObject replies = figures.getJSONObject("replies");
                    long served = replies.keySet().stream()
                            .mapToLong(type -> replies.getJSONObject(type).getLong("success"))
                            .sum();
                    long before = servedThen.computeIfAbsent(name, n -> served);
                    if (served > before) {
                        findings.add(
                                "policy-served",
                                name,
                                "it cannot know what holds and has served " + (served - before)
                                        + " requests all the same");
                    }
                }
            }));
        }
    }

    private void check(String name, JSONObject told) {
        refuses(name, told.optBoolean("serves"));
        history.say(
                name,
                "policy=" + told.optInt("version") + " newest=" + told.optInt("newest") + " serves="
                        + told.optBoolean("serves") + " age_ms=" + told.optLong("age_ms") + " role="
                        + told.optString("role") + " open=" + told.opt("open"));
        JSONArray versions = told.getJSONArray("versions");
        for (int i = 0; i < versions.length(); i++) {
            JSONObject one = versions.getJSONObject(i);
            int number = one.getInt("version");
            String state = one.getString("state");
            if (!state.equals("proposed")) {
                String decided = state.equals("aborted") ? state : "committed";
                String before = states.putIfAbsent(number, decided);
                if (before != null && !before.equals(decided)) {
                    findings.add(
                            "policy-split",
                            name,
                            "version " + number + " is " + decided + " here and " + before + " elsewhere");
                }
                if (decided.equals("committed")) {
                    committedAt.putIfAbsent(number, net.now());
                }
            }
        }
        if (told.optBoolean("serves") && !told.optBoolean("stale")) {
            committedAt.forEach((number, at) -> {
                if (number > told.optInt("version") && net.now() - at > BOUND_NANOS) {
                    findings.add(
                            "policy-late",
                            name,
                            "it serves by version " + told.optInt("version") + " " + (net.now() - at) / SECOND
                                    + " s after version " + number + " was committed");
                }
            });
        }
    }

    /** In the end all serve by the newest, if the last fault is over for long enough. */
    void atTheEnd(long since) {
        over = true;
        long quiet = day.timeline().faults().stream()
                .mapToLong(fault -> fault.until())
                .max()
                .orElse(0);
        if (since - quiet < SETTLED_NANOS) {
            return;
        }
        int newest =
                committedAt.keySet().stream().mapToInt(number -> number).max().orElse(0);
        last.forEach((name, told) -> {
            if (told.optInt("version") != newest || !told.optBoolean("serves")) {
                findings.add(
                        "policy",
                        name,
                        "at the end it serves by version " + told.optInt("version") + " of " + newest + ", serves="
                                + told.optBoolean("serves") + " age_ms=" + told.optLong("age_ms"));
            }
        });
    }
}
