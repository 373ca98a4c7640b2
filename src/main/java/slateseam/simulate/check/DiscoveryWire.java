package slateseam.simulate.check;

import java.nio.charset.StandardCharsets;
import org.json.JSONException;
import org.json.JSONObject;

/** A connection of a router to discovery's agent. */
final class DiscoveryWire {
    final RouterState router;
    /** The agent's. */
    private final String machine;

    private final Checker checker;
    private final Report report;
    /** Written by the agent while the way was cut, and not come yet. */
    private final Pieces underway = new Pieces();

    private final Pieces in = new Pieces();
    private long written;
    private long come;
    private boolean over;

    DiscoveryWire(RouterState router, String machine, Checker checker, Report report) {
        this.router = router;
        this.machine = machine;
        this.checker = checker;
        this.report = report;
    }

    /** The agent wrote bytes: what a whole answer tells counts as told from now on, unless the way is cut. */
    void written(byte[] bytes) {
        written += bytes.length;
        if (underway.size() > 0 || !checker.isUndisturbed(machine, router.place.machine(), report.now())) {
            underway.add(bytes, report.now());
        } else {
            told(bytes);
        }
    }

    /** The router took bytes. */
    void came(int count) {
        come += count;
        int now = (int) Math.min(underway.size(), come - (written - underway.size()));
        if (now > 0) {
            byte[] bytes = underway.copy(0, now);
            underway.consume(now);
            told(bytes);
        }
    }

    private void told(byte[] bytes) {
        if (over) {
            return;
        }
        in.add(bytes, report.now());
        try {
            for (Http reply; (reply = Http.read(in)) != null; ) {
                if (reply.status() == 200) {
                    JSONObject list = new JSONObject(new String(reply.body(), StandardCharsets.UTF_8));
                    router.told.take(list, list.getBoolean("whole"), report.now());
                }
            }
        } catch (Garbled | JSONException e) {
            // A spoilt list tells nothing; the router asks anew on another connection.
            over = true;
        }
    }

    void end() {
        over = true;
    }
}
