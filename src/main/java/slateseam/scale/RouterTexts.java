package slateseam.scale;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.json.JSONArray;
import org.json.JSONObject;
import slateseam.decision.Api.Settings;
import slateseam.router.config.NodeConfig;
import slateseam.router.config.NodeConfig.InvalidConfigException;
import slateseam.standin.Listing;

/** The configurations of a run's routers, and the list that discovery tells them. */
final class RouterTexts {
    private static final long MILLI = 1_000_000L;
    /** The decision module's housekeeping of a hollow router, which has no requests. */
    private static final long HOLLOW_TICK_NANOS = 50 * MILLI;

    private static final long REAL_TICK_NANOS = 10 * MILLI;
    private static final int ZONES = 28;
    private static final String KIND = "cache";
    private static final String ORIGIN = "origin";
    /** A port to which nobody listens; nothing is ever sent there. */
    private static final String NOBODY = "127.0.0.1:9";

    private final ScaleSettings settings;

    RouterTexts(ScaleSettings settings) {
        this.settings = settings;
    }

    static String name(int router) {
        return "router-" + router;
    }

    /** The number in a name. */
    static int number(String name) {
        return Integer.parseInt(name.substring(name.indexOf('-') + 1));
    }

    private static String zone(int number) {
        return "zone-" + number % ZONES;
    }

    /** All that discovery lists. */
    List<Listing> farm() {
        List<Listing> farm = new ArrayList<>();
        farm.add(new Listing(ORIGIN, NOBODY, zone(0), ORIGIN, 0, Listing.Health.READY, 1, 0));
        for (int server = 0; server < settings.servers(); server++) {
            farm.add(new Listing("cache-" + server, NOBODY, zone(server), KIND, server, Listing.Health.READY, 1, 0));
        }
        return farm;
    }

    /** The configuration of a real router, without its addresses; {@code talks} says whether it sends others anything. */
    JSONObject config(int router, boolean talks, JSONObject known) {
        return config(router, talks, known, REAL_TICK_NANOS);
    }

    private JSONObject config(int router, boolean talks, JSONObject known, long tickNanos) {
        JSONObject limits = new JSONObject()
                .put("try_limit", 2)
                .put("may_duplicate", false)
                .put("cancel", true)
                .put("probes", false)
                .put("peers", talks)
                .put("retry_after", true)
                .put("max_retry_after_ns", 2_000 * MILLI)
                .put("connect_timeout_ns", 200 * MILLI)
                .put("streams_per_conn", 1)
                .put("conn_idle_ns", 60_000 * MILLI)
                .put("most_held", 1_000);
        JSONObject rules = new JSONObject()
                .put("drain_grace_ns", 500 * MILLI)
                .put("start_capacity", 0.33)
                .put("cold_ns", 8_000 * MILLI)
                .put("overload_factor", 3.0)
                .put("fall_ns", 2_000 * MILLI)
                .put("answer_slack_ns", 20 * MILLI);
        JSONObject read = new JSONObject()
                .put("name", "read")
                .put("effect", "pure")
                .put("group", "all")
                .put("objective_ns", 500 * MILLI)
                .put("deadline_ns", 1_500 * MILLI)
                .put("value", 1.0)
                .put("late_share", 0.0);
        JSONObject told = new JSONObject()
                .put("me", router)
                .put("replicas_of_me", settings.routers())
                .put("az", router % ZONES)
                .put("tick_ns", tickNanos)
                .put("discovery", "push")
                .put("family_info", new JSONObject().put("mode", "aside").put("origin_kind", 1))
                .put(
                        "zones",
                        new JSONArray(IntStream.range(0, ZONES)
                                .mapToObj(RouterTexts::zone)
                                .toList()))
                .put("kinds", new JSONArray(List.of(KIND, ORIGIN)))
                .put("over_share_worth", 0.1)
                .put("accounts", new JSONArray())
                .put("profiles", new JSONArray().put(read))
                .put("limits", limits)
                .put("rules", rules);
        return new JSONObject()
                .put("name", name(router))
                .put("seed", Long.toHexString(7 + router))
                .put("known", known)
                .put(
                        "limits",
                        new JSONObject().put("cores", 1.0).put("memory_mb", 192).put("sockets", 1_024))
                .put("settings", told);
    }

    /**
     * What a hollow router is told. All share one list of peers, and what they keep of the file itself names none: a policy's document
     * is laid over that file, which must not cost a process with thousands of routers thousands of long files at one moment.
     */
    NodeConfig hollow(int router, List<InetSocketAddress> peers, InetSocketAddress discovery)
            throws InvalidConfigException {
        JSONObject none = new JSONObject().put("seq", 0).put("whole", true).put("hosts", new JSONArray());
        String text = config(router, true, none, HOLLOW_TICK_NANOS)
                .put("listen", NOBODY)
                .put("discovery", Places.text(discovery))
                .toString();
        NodeConfig config = NodeConfig.parse(text);
        Settings told = config.settings();
        return new NodeConfig(
                config.name(),
                config.listen(),
                config.discovery(),
                config.seed(),
                config.sockets(),
                peers.get(router),
                peers,
                null,
                config.known(),
                config.zones(),
                config.kinds(),
                config.idleNanos(),
                config.mostHeld(),
                told,
                config.whole(),
                null);
    }

    /** What the settings file has in addition where control is on. */
    String features(String proposal) {
        String voters = IntStream.range(0, settings.voters())
                .mapToObj(Integer::toString)
                .collect(Collectors.joining(","));
        return "tier on\ntier_places listed\n"
                + (settings.policy()
                        ? "policy on\npolicy_voters " + voters + "\npolicy_proposal " + proposal + "\n"
                        : "");
    }
}
