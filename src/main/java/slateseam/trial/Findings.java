package slateseam.trial;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import slateseam.standin.Witness;

/**
 * What was seen to break a rule, from outside: by what stand-ins were sent and by how processes ended. It tells what only the
 * stand-ins can know; the rules that need every byte in order are the simulation's to check.
 */
final class Findings implements Witness {
    private static final int MOST = 50;
    /** Beside the rule's own time: a way, and a machine that has other work. */
    private static final long DRAIN_SLACK_NANOS = 300_000_000L;

    /** Something that must not be. */
    record Finding(double at, String rule, String whom, String text) {
        @Override
        public String toString() {
            return String.format(Locale.ROOT, "at=%.3f rule=%s whom=%s text=\"%s\"", at, rule, whom, text);
        }
    }

    private final List<Finding> all = new ArrayList<>();
    private final Map<String, Long> counts = new HashMap<>();
    private final Map<String, Integer> ranOnce = new HashMap<>();
    private final Map<String, Long> drainsSince = new HashMap<>();
    private final java.util.function.LongSupplier now;
    private final long graceNanos;
    private long begin;
    private long excusedUntil;

    Findings(java.util.function.LongSupplier now, long graceNanos) {
        this.now = now;
        this.graceNanos = graceNanos;
        this.begin = now.getAsLong();
    }

    void begins(long at) {
        begin = at;
    }

    /** Something broke a rule; of each rule and whom the first is kept with its text, all are counted. */
    void add(String rule, String whom, String text) {
        if (counts.merge(rule + " " + whom, 1L, Long::sum) == 1 && all.size() < MOST) {
            all.add(new Finding((now.getAsLong() - begin) / 1e9, rule, whom, text));
        }
    }

    List<Finding> all() {
        return List.copyOf(all);
    }

    /** All agents have told that a server wants nothing new. */
    void drains(String host, long toldNanos) {
        drainsSince.put(host, toldNanos);
    }

    /** A router that stands still, or that its agent does not tell, may send late: what falls into that is no fault. */
    void excused(long until) {
        excusedUntil = Math.max(excusedUntil, until);
    }

    @Override
    public void load(String server, double work, double capacity) {
        Long told = drainsSince.get(server);
        long late = told == null ? 0 : now.getAsLong() - told;
        if (late > graceNanos + DRAIN_SLACK_NANOS && now.getAsLong() > excusedUntil) {
            add(
                    "drain",
                    server,
                    String.format(Locale.ROOT, "a request came %.2f s after all routers were told", late / 1e9));
        }
    }

    @Override
    public void ran(String server, String id, String key, boolean write, String idempotencyKey) {
        if (write && idempotencyKey == null && ranOnce.merge(id, 1, Integer::sum) == 2) {
            add("once", server, "the once-write " + id + " has run twice");
        }
    }

    @Override
    public void fell(String server) {
        add("fallen", server, "it was sent too much while it was cold");
    }
}
