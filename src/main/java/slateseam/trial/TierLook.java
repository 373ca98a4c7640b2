package slateseam.trial;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.json.JSONArray;
import org.json.JSONObject;
import slateseam.simulate.ServiceByPhase;
import slateseam.simulate.scenario.Day;
import slateseam.simulate.scenario.Fault;
import slateseam.standin.sockets.SocketNet;

/** What routers say of their tier at their second addresses, against what the rig knows to be so. */
final class TierLook {
    private static final long SECOND = 1_000_000_000L;
    /** After the last fault all must see the same. */
    private static final long SETTLED_NANOS = 5 * SECOND;
    /** After a fault a router may still be taken for dead, or be told of as if it were. */
    private static final long AFTER_NANOS = 6 * SECOND;

    private static final long ASKED_WITHIN_NANOS = 3 * SECOND;

    private final Day day;
    private final SocketNet net;
    private final Routers routers;
    private final Findings findings;
    private final History history;
    private final Map<String, JSONObject> last = new TreeMap<>();
    private final Map<String, Long> lastAt = new HashMap<>();
    private final Set<String> asked = new HashSet<>();
    private ServiceByPhase phases;

    TierLook(Day day, SocketNet net, Routers routers, Findings findings, History history) {
        this.day = day;
        this.net = net;
        this.routers = routers;
        this.findings = findings;
        this.history = history;
    }

    void start(ServiceByPhase told) {
        phases = told;
    }

    /** Asks each router for its view; one that stands still is not asked again and again. */
    void ask(long since) {
        for (Day.Router router : day.routers()) {
            String name = router.name();
            if (routers.child(name).isAlive() && asked.add(name)) {
                net.connect("rig", routers.control(router.name()), new StatsCall("/tier", view -> {
                    asked.remove(name);
                    if (view != null) {
                        last.put(name, view);
                        lastAt.put(name, net.now());
                        history.say(
                                name,
                                "tier=" + view.optString("view") + " doubt=" + view.optString("doubt") + " present="
                                        + view.optInt("present") + " not_heard=" + view.optJSONArray("not_heard"));
                        check(name, view, since);
                    }
                }));
            }
        }
    }

    /** Nobody may be taken for dead whom no fault has troubled for long. */
    private void check(String by, JSONObject view, long since) {
        JSONArray members = view.optJSONArray("members");
        for (int i = 0; members != null && i < members.length(); i++) {
            JSONObject one = members.getJSONObject(i);
            String name = one.getString("name");
            if (one.getString("state").equals("failed")
                    && routers.child(name) != null
                    && routers.child(name).isAlive()
                    && !isTroubled(name, since)
                    && !isTroubled(by, since)) {
                findings.add(
                        "wrong-death",
                        name,
                        by + " takes it for dead, though it runs and no fault has troubled it: " + one);
            }
        }
    }

    private boolean isTroubled(String router, long since) {
        return phases.faults().stream()
                .filter(fault -> fault.at() <= since && since <= fault.until() + after(fault))
                .anyMatch(fault -> fault.targets().isEmpty()
                        || fault.targets().stream()
                                .anyMatch(target -> target.equals(router)
                                        || target.startsWith(router + "~")
                                        || target.endsWith("~" + router)));
    }

    private static long after(Fault fault) {
        return AFTER_NANOS
                + (fault.kind().lasts()
                        ? 0
                        : (long) fault.size() * fault.targets().size());
    }

    /** All that run must see the same, if the last fault was over long enough ago. */
    void atTheEnd() {
        long over = phases.faults().stream()
                .mapToLong(fault -> fault.until() + after(fault) - AFTER_NANOS)
                .max()
                .orElse(0);
        if (over + SETTLED_NANOS > day.durationNanos()) {
            return;
        }
        Set<String> views = new HashSet<>();
        for (Day.Router router : day.routers()) {
            String name = router.name();
            JSONObject view = last.get(name);
            if (!routers.child(name).isAlive()) {
                continue;
            }
            if (view == null || net.now() - lastAt.get(name) > ASKED_WITHIN_NANOS + day.longestDeadlineNanos()) {
                findings.add("tier", name, "it has not told its view of late");
                continue;
            }
            views.add(view.optString("view"));
            if (!view.optString("doubt").equals("none")
                    || view.optInt("present") != day.routers().size()) {
                findings.add(
                        "tier",
                        name,
                        "its view at the end: doubt=" + view.optString("doubt") + " present=" + view.optInt("present"));
            }
        }
        if (views.size() > 1) {
            findings.add("tier", "routers", "they see " + views.size() + " different tiers at the end: " + last);
        }
    }
}
