package slateseam.router.counts;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntSupplier;
import org.json.JSONObject;
import slateseam.router.request.Ending;
import slateseam.router.request.RequestObserver;

/**
 * What the router has done since its start. Requests are counted where they end, attempts where their last byte was handed
 * to the system; who asks only reads. One entry a class that is listed, or was: of those that are dropped the first go beyond 1,024.
 */
public final class ServiceCounts implements RequestObserver {
    private static final int MOST_NAMES = 1_024;

    private static final class OfClass {
        final String name;
        long success;
        long overload;
        long error;

        OfClass(String name) {
            this.name = name;
        }
    }

    private record Gauge(String name, IntSupplier now) {}

    /** By slot. */
    private final List<OfClass> classes = new ArrayList<>();

    private final Map<String, OfClass> all = new LinkedHashMap<>();
    private final List<Gauge> gauges = new ArrayList<>();
    private long dispatches;
    private long reloaded;
    private long notReloaded;

    /** Gives classes their slots; one that was there before goes on counting, and one that was dropped is still shown. */
    public void name(List<String> names) {
        classes.clear();
        for (String name : names) {
            classes.add(all.computeIfAbsent(name, OfClass::new));
        }
        // Guards the memory against ever new names: of those that are dropped, the first ones go.
        for (Iterator<OfClass> i = all.values().iterator(); all.size() > MOST_NAMES && i.hasNext(); ) {
            if (!classes.contains(i.next())) {
                i.remove();
            }
        }
    }

    /** Adds a figure that is asked for when it is shown. */
    public ServiceCounts gauge(String name, IntSupplier now) {
        gauges.add(new Gauge(name, now));
        return this;
    }

    /** An attempt was written whole to a server. */
    public void dispatched() {
        dispatches++;
    }

    /** The files were read again, and taken or turned down. */
    public void reloaded(boolean taken) {
        reloaded += taken ? 1 : 0;
        notReloaded += taken ? 0 : 1;
    }

    @Override
    public void ended(int requestClass, int tenant, byte[] key, Ending ending, long nanos) {
        OfClass counts = classes.get(requestClass);
        switch (ending) {
            case HIT, MISS, WRITTEN -> counts.success++;
            case UNAVAILABLE -> counts.overload++;
            case FAILED, TIMEOUT -> counts.error++;
            case LEFT -> {} // nobody has seen how it ended
        }
    }

    /** Of each class that is listed, requests that were asked and served, and unavailable answers of all last. */
    public long[][] tally() {
        long[][] tally = {new long[classes.size()], new long[classes.size()], {0}};
        for (int i = 0; i < classes.size(); i++) {
            OfClass one = classes.get(i);
            tally[0][i] = one.success + one.overload + one.error;
            tally[1][i] = one.success;
            tally[2][0] += one.overload;
        }
        return tally;
    }

    /** All figures, as one object of JSON. */
    public String json() {
        JSONObject replies = new JSONObject();
        for (OfClass c : all.values()) {
            replies.put(
                    c.name,
                    new JSONObject()
                            .put("success", c.success)
                            .put("overload", c.overload)
                            .put("error", c.error));
        }
        JSONObject figures = new JSONObject()
                .put("replies", replies)
                .put("dispatches", dispatches)
                .put("reload_success", reloaded)
                .put("reload_failure", notReloaded);
        gauges.forEach(gauge -> figures.put(gauge.name, gauge.now.getAsInt()));
        return figures.toString();
    }
}
