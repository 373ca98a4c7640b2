package slateseam.simulate.check;

import java.nio.charset.StandardCharsets;
import org.json.JSONException;
import org.json.JSONObject;

/** A connection of a router to discovery's agent. */
final class DiscoveryWire {
    final RouterState router;
    private final Report report;
    private final Pieces in = new Pieces();
    private boolean over;

    DiscoveryWire(RouterState router, Report report) {
        this.router = router;
        this.report = report;
    }

    /** The agent wrote bytes: what a whole answer tells counts as told from now on. */
    void told(byte[] bytes) {
        if (over) {
            return;
        }
        in.add(bytes, report.now());
        try {
            for (Http reply; (reply = Http.read(in)) != null;) {
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
