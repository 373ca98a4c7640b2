package slateseam.simulate.scenario;

import java.util.List;
import java.util.stream.Stream;
import org.json.JSONArray;
import org.json.JSONObject;
import slateseam.simulate.scenario.Day.Router;
import slateseam.simulate.scenario.Day.RouterRules;
import slateseam.simulate.scenario.Day.Server;
import slateseam.standin.useragent.ClassFigures;

/** Writes the configurations of a day's routers, in the form in which the platform tells them. */
public final class RouterConfig {
    private static final String ORIGIN_KIND = "origin";
    private static final long MEBIBYTE = 1024 * 1024;

    private final Day day;
    private final JSONArray peers;
    private final JSONArray accounts = new JSONArray();
    private final JSONArray profiles = new JSONArray();
    private final List<String> kinds;

    /** Prepares what all routers of a day have in common. */
    public RouterConfig(Day day) {
        this.day = day;
        this.peers =
                new JSONArray(day.routers().stream().map(Router::peerListen).toList());
        List<String> servers =
                day.scenario().all("servers").stream().map(Section::name).toList();
        this.kinds = Stream.concat(servers.stream(), Stream.of(ORIGIN_KIND)).toList();
        day.tenants()
                .forEach(tenant -> accounts.put(new JSONObject()
                        .put("name", tenant.name())
                        .put("quota_per_s", tenant.limit())
                        .put("fraction", tenant.fraction())));
        day.classes().forEach(one -> profiles.put(profile(one)));
    }

    private static JSONObject profile(ClassFigures one) {
        JSONObject profile = new JSONObject()
                .put("name", one.name())
                .put(
                        "effect",
                        switch (one.effect()) {
                            case REPEATABLE -> "pure";
                            case KEYED -> "token";
                            case ONCE -> "side_effect";
                        })
                .put("group", one.group())
                .put("objective_ns", one.aimNanos())
                .put("deadline_ns", one.deadlineNanos())
                .put("value", one.worth())
                .put("late_share", one.lateWorth());
        return one.effect() == ClassFigures.Effect.KEYED ? profile.put("window_ns", one.windowNanos()) : profile;
    }

    /**
     * The text of a router's configuration for one of its starts.
     *
     * @param start 0 for the first, 1 for the next; each gives the router another seed
     * @param moved whether its agent of discovery has moved
     * @param known the list that it last had, in discovery's form
     */
    public String text(Router router, int start, boolean moved, JSONObject known) {
        RouterRules rules = day.routerRules();
        JSONObject config = new JSONObject()
                .put("name", router.name())
                .put("listen", router.listen())
                .put("discovery", router.discovery(moved))
                .put("seed", Long.toHexString(day.streams().number(router.name() + " start " + start)))
                .put(
                        "limits",
                        new JSONObject()
                                .put("cores", 1.0)
                                .put("memory_mb", rules.memoryBytes() / MEBIBYTE)
                                .put("sockets", rules.descriptors()))
                .put("known", known)
                .put("settings", settings(router));
        if (rules.messages()) {
            config.put("peer_listen", router.peerListen()).put("peers", peers);
        }
        return config.toString();
    }

    private JSONObject settings(Router router) {
        RouterRules rules = day.routerRules();
        return new JSONObject()
                .put("me", router.number())
                .put("replicas_of_me", day.routers().size())
                .put("az", router.site())
                .put("tick_ns", rules.tickNanos())
                .put("discovery", rules.asked() ? "ask" : "push")
                .put("family_info", new JSONObject().put("mode", "aside").put("origin_kind", kinds.size() - 1))
                .put("zones", day.network().sites())
                .put("kinds", kinds)
                .put("over_share_worth", rules.overShareWorth())
                .put("accounts", accounts)
                .put("profiles", profiles)
                .put(
                        "limits",
                        new JSONObject()
                                .put("try_limit", rules.tries())
                                .put("may_duplicate", rules.secondCopies())
                                .put("cancel", rules.cancel())
                                .put("probes", rules.probes())
                                .put("peers", rules.messages())
                                .put("retry_after", rules.comeBack())
                                .put("max_retry_after_ns", rules.longestComeBackNanos())
                                .put("connect_timeout_ns", rules.connectNanos())
                                .put("streams_per_conn", rules.commands())
                                .put("conn_idle_ns", rules.idleNanos())
                                .put("most_held", rules.held()))
                .put(
                        "rules",
                        new JSONObject()
                                .put("drain_grace_ns", rules.drainGraceNanos())
                                .put("start_capacity", rules.coldFrom())
                                .put("cold_ns", rules.coldNanos())
                                .put("overload_factor", rules.overload())
                                .put("fall_ns", rules.overloadNanos())
                                .put("answer_slack_ns", rules.answerSlackNanos()));
    }

    /** The whole list with which the day begins: everything is ready and has been so for long. */
    public JSONObject known(long version) {
        JSONArray hosts = new JSONArray();
        day.servers().forEach(server -> hosts.put(entry(server, 0, "ready", 0)));
        hosts.put(new JSONObject()
                .put("host", Day.Origin.NAME)
                .put("dial", day.origin().listen())
                .put("site", day.network().sites().get(day.origin().site()))
                .put("class", ORIGIN_KIND)
                .put("block", 0)
                .put("health", "ready")
                .put("share", 1.0)
                .put("born_ms", 0));
        return new JSONObject().put("seq", version).put("whole", true).put("hosts", hosts);
    }

    /**
     * A server's entry of the list.
     *
     * @param replacement how many other machines had its address before
     * @param health {@code ready}, {@code draining} or {@code gone}
     * @param bornMillis its last start in Unix time; 0 for long ago
     */
    public JSONObject entry(Server server, int replacement, String health, long bornMillis) {
        return new JSONObject()
                .put("host", day.host(server, replacement))
                .put("dial", server.listen())
                .put("site", day.network().sites().get(server.site()))
                .put("class", server.kind())
                .put("block", server.block())
                .put("health", health)
                .put("share", server.told())
                .put("born_ms", bornMillis);
    }
}
